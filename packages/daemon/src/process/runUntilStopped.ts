import { createDeferred } from './createDeferred.js';
import type { ProcessLogger } from './processLogger.js';
import type { RunningProcess } from './runningProcess.js';

/**
 * Logs that a process is listening and runs it until its planned stop is finished; a second signal ends it immediately.
 */
export const runUntilStopped = async (
  running: RunningProcess,
  logger: ProcessLogger,
): Promise<void> => {
  let signals = 0;
  const aborted = createDeferred();
  const handleSignal = (signal: NodeJS.Signals): void => {
    signals += 1;
    logger.info({ event: 'signal', signal, signals }, 'received a signal');
    if (signals > 1) {
      aborted.resolve();
      return;
    }
    running.requestStop();
  };
  process.on('SIGTERM', handleSignal);
  process.on('SIGINT', handleSignal);
  // Logged after the signal handlers are installed, since a reader of this line may send a signal immediately.
  logger.info({ event: 'listening', ...running.listeners }, 'listening');
  await Promise.race([running.whenStopped, aborted.promise]);
  logger.info({ event: 'stopped', isPlanned: signals <= 1 }, 'stopped');
};
