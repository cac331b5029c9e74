import type { CallersServer } from '../callers/callersServer.js';
import type { Logger } from '../logging/logger.js';
import type { GracefulShutdown } from './gracefulShutdown.js';

/** New connections are accepted for this long after the signal: the platform's checks notice it within two periods. */
const LISTEN_AFTER_SIGNAL_MS = 2_600;
/** Part of the time limit that is reserved for the process to exit. */
const EXIT_MARGIN_MS = 400;
const CHECK_PERIOD_MS = 100;

/** Creates the graceful shutdown of a process that serves callers. */
export const createGracefulShutdown = ({
  getCallers,
  getTimeLimitMs,
  notifyPeers,
  logger,
}: {
  readonly getCallers: () => CallersServer;
  /** Time from the signal until the process must have exited, in milliseconds. */
  readonly getTimeLimitMs: () => number;
  /** Tells the other entries that this one is leaving. */
  readonly notifyPeers: () => void;
  readonly logger: Logger;
}): GracefulShutdown => {
  let isShuttingDown = false;
  let hasStoppedListening = false;
  let resolveStopped: () => void = () => undefined;
  const whenStopped = new Promise<void>((resolve) => {
    resolveStopped = resolve;
  });

  const advanceShutdown = (elapsedMs: number): boolean => {
    const callers = getCallers();
    if (elapsedMs < LISTEN_AFTER_SIGNAL_MS) {
      return false;
    }
    if (!hasStoppedListening) {
      hasStoppedListening = true;
      callers.stopListening();
    }
    callers.closeIdleConnections();
    return callers.countOpenRequests() === 0 || elapsedMs > getTimeLimitMs() - EXIT_MARGIN_MS;
  };

  return {
    isShuttingDown: () => isShuttingDown,
    isRefusingRequests: () => hasStoppedListening,
    whenStopped,
    start: () => {
      if (isShuttingDown) {
        return;
      }
      isShuttingDown = true;
      const startedAtMs = performance.now();
      logger.write({ name: 'stopping', fields: { open: getCallers().countOpenRequests() } });
      notifyPeers();
      const checkTimer = setInterval(() => {
        if (advanceShutdown(performance.now() - startedAtMs)) {
          clearInterval(checkTimer);
          logger.write({ name: 'stopped', fields: { open: getCallers().countOpenRequests() } });
          resolveStopped();
        }
      }, CHECK_PERIOD_MS);
    },
  };
};
