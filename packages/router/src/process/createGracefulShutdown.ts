import type { CallersServer } from '../callers/callersServer.js';
import type { Logger } from '../logging/logger.js';
import type { GracefulShutdown } from './gracefulShutdown.js';

/** New connections are accepted for this long after the signal: the platform's checks notice it within two periods. */
const LISTEN_AFTER_SIGNAL_MS = 2_600;
/** The part of a short time limit for which new connections are accepted at most. */
const MAX_LISTEN_SHARE = 1 / 3;
/** Part of the time limit that is reserved for final responses and for the process to exit. */
const END_MARGIN_MS = 400;
/** Part of the time limit that is reserved for the process to exit. */
const EXIT_MARGIN_MS = 300;
const CHECK_PERIOD_MS = 100;

/** Creates the graceful shutdown of a process that serves callers. */
export const createGracefulShutdown = ({
  getCallers,
  getTimeLimitMs,
  notifyPeers,
  endOpenRequests,
  logger,
}: {
  readonly getCallers: () => CallersServer;
  /** Time from the signal until the process must have exited, in milliseconds. */
  readonly getTimeLimitMs: () => number;
  /** Tells the other entries that this one is leaving. */
  readonly notifyPeers: () => void;
  /** Gives each open request its final response, or breaks the response off if it has begun. */
  readonly endOpenRequests: () => void;
  readonly logger: Logger;
}): GracefulShutdown => {
  let isShuttingDown = false;
  let hasStoppedListening = false;
  let hasEndedRequests = false;
  let resolveStopped: () => void = () => undefined;
  const whenStopped = new Promise<void>((resolve) => {
    resolveStopped = resolve;
  });

  const advanceShutdown = (elapsedMs: number): boolean => {
    const callers = getCallers();
    if (elapsedMs < Math.min(LISTEN_AFTER_SIGNAL_MS, getTimeLimitMs() * MAX_LISTEN_SHARE)) {
      return false;
    }
    if (!hasStoppedListening) {
      hasStoppedListening = true;
      callers.stopListening();
    }
    callers.closeIdleConnections();
    const leftMs = getTimeLimitMs() - elapsedMs;
    if (leftMs < END_MARGIN_MS && !hasEndedRequests) {
      hasEndedRequests = true;
      logger.write({ name: 'stopTimeUp', fields: { open: callers.countOpenRequests() } });
      endOpenRequests();
    }
    // A caller may send its next request until it sees its connection closed.
    return callers.countUsedConnections() === 0 || leftMs < EXIT_MARGIN_MS;
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
          getCallers().breakOffResponses();
          resolveStopped();
        }
      }, CHECK_PERIOD_MS);
    },
  };
};
