import type { Socket } from 'node:net';
import type { ReadDelayMonitor } from './readDelayMonitor.js';

/** Accept backlogs and event-loop stalls that last longer than this are reported. */
const MIN_REPORTED_DELAY_MS = 200;

/**
 * Creates a monitor for one listening socket. The event loop accepts only one connection per turn, however long the
 * turn takes. As long as every turn accepts one, more connections may be waiting in the backlog.
 */
export const createReadDelayMonitor = ({
  getNowMs,
  reportAcceptBacklog: reportAcceptBacklog,
  reportEventLoopStall: reportEventLoopStall,
}: {
  readonly getNowMs: () => number;
  /**
   * Reports the end of a backlog: how many connections were accepted in it, and for how many milliseconds at most the
   * last of them waited.
   */
  readonly reportAcceptBacklog: (connections: number, waitedMs: number) => void;
  /** Reports the time between two ticks, in milliseconds, where it was too long. */
  readonly reportEventLoopStall: (stalledMs: number) => void;
}): ReadDelayMonitor => {
  const acceptTimes = new WeakMap<
    Socket,
    { readonly earliestArrivalAtMs: number; readonly acceptedAtMs: number }
  >();
  let lastTickAtMs = getNowMs();
  let previousTickAtMs = lastTickAtMs;
  /** A moment at which no connection was waiting to be accepted. */
  let backlogEmptyAtMs = lastTickAtMs;
  let acceptedCount = 0;
  let hasAcceptedInTurn = false;
  let turnEndedAtMs = lastTickAtMs;

  const endBacklog = (nowMs: number): void => {
    const waitedMs = nowMs - backlogEmptyAtMs;
    if (waitedMs > MIN_REPORTED_DELAY_MS) {
      reportAcceptBacklog(acceptedCount, waitedMs);
    }
    acceptedCount = 0;
    backlogEmptyAtMs = turnEndedAtMs;
  };

  // Runs once per event-loop turn, after all sockets were read, until a turn accepts no connection.
  const endTurn = (): void => {
    const nowMs = getNowMs();
    if (!hasAcceptedInTurn) {
      endBacklog(nowMs);
      return;
    }
    hasAcceptedInTurn = false;
    turnEndedAtMs = nowMs;
    setImmediate(endTurn);
  };

  return {
    recordConnection: (socket) => {
      hasAcceptedInTurn = true;
      acceptedCount += 1;
      if (acceptedCount === 1) {
        // Between the last two ticks the event loop read all sockets once, and no connection was left waiting.
        backlogEmptyAtMs = Math.max(backlogEmptyAtMs, previousTickAtMs);
        setImmediate(endTurn);
      }
      acceptTimes.set(socket, { earliestArrivalAtMs: backlogEmptyAtMs, acceptedAtMs: getNowMs() });
    },
    recordTick: () => {
      previousTickAtMs = lastTickAtMs;
      lastTickAtMs = getNowMs();
      if (lastTickAtMs - previousTickAtMs > MIN_REPORTED_DELAY_MS) {
        reportEventLoopStall(lastTickAtMs - previousTickAtMs);
      }
    },
    getEarliestArrivalAtMs: (socket) => {
      const accept = acceptTimes.get(socket);
      return accept !== undefined && accept.acceptedAtMs >= previousTickAtMs
        ? accept.earliestArrivalAtMs
        : previousTickAtMs;
    },
    hasAcceptBacklog: () => acceptedCount > 0,
  };
};
