import { createLatch } from './createLatch.js';
import type { ProcessLogger } from './processLogger.js';
import type { RunningProcess } from './runningProcess.js';

/** Says that a process listens and runs it until its planned stop is finished; a second signal ends it at once. */
export const runUntilStopped = async (
  running: RunningProcess,
  logger: ProcessLogger,
): Promise<void> => {
  let signals = 0;
  const aborted = createLatch();
  const takeSignal = (signal: NodeJS.Signals): void => {
    signals += 1;
    logger.info({ event: 'signal', signal, signals }, 'signal');
    if (signals > 1) {
      aborted.open();
      return;
    }
    running.requestStop();
  };
  process.on('SIGTERM', takeSignal);
  process.on('SIGINT', takeSignal);
  // Whoever reads the line may send a signal at once.
  logger.info({ event: 'listening', ...running.listeners }, 'listening');
  await Promise.race([running.whenStopped, aborted.opened]);
  logger.info({ event: 'stopped', isPlanned: signals <= 1 }, 'stopped');
};
