import type { Socket } from 'node:net';
import type { ReadingWatch } from './readingWatch.js';

/** A process that reads later than this says so, in milliseconds. */
const TOLD_FROM_MS = 200;

/**
 * Creates a watch over one listening socket. The event loop accepts one connection a turn, whatever the turn's length,
 * so a connection may wait for as long as every turn has accepted one.
 */
export const createReadingWatch = ({
  getNowMs,
  tellBacklog,
  tellStall,
}: {
  readonly getNowMs: () => number;
  /** Connections waited to be accepted, the last of them at most that long, in milliseconds. */
  readonly tellBacklog: (connections: number, waitedMs: number) => void;
  /** Between two ticks lay that many milliseconds. */
  readonly tellStall: (stalledMs: number) => void;
}): ReadingWatch => {
  const cameAfterMs = new WeakMap<
    Socket,
    { readonly sinceMs: number; readonly acceptedMs: number }
  >();
  let tickMs = getNowMs();
  let tickBeforeMs = tickMs;
  /** Nothing waited to be accepted at that moment. */
  let clearMs = tickMs;
  let accepted = 0;
  let hasAcceptedInTurn = false;
  let turnMs = tickMs;

  const endBacklog = (nowMs: number): void => {
    const waitedMs = nowMs - clearMs;
    if (waitedMs > TOLD_FROM_MS) {
      tellBacklog(accepted, waitedMs);
    }
    accepted = 0;
    clearMs = turnMs;
  };

  // Runs after each reading of all connections for as long as each has accepted one.
  const endTurn = (): void => {
    const nowMs = getNowMs();
    if (!hasAcceptedInTurn) {
      endBacklog(nowMs);
      return;
    }
    hasAcceptedInTurn = false;
    turnMs = nowMs;
    setImmediate(endTurn);
  };

  return {
    noteAccepted: (socket) => {
      hasAcceptedInTurn = true;
      accepted += 1;
      if (accepted === 1) {
        // Between the last two ticks all connections were read once, and nothing waited.
        clearMs = Math.max(clearMs, tickBeforeMs);
        setImmediate(endTurn);
      }
      cameAfterMs.set(socket, { sinceMs: clearMs, acceptedMs: getNowMs() });
    },
    noteTick: () => {
      tickBeforeMs = tickMs;
      tickMs = getNowMs();
      if (tickMs - tickBeforeMs > TOLD_FROM_MS) {
        tellStall(tickMs - tickBeforeMs);
      }
    },
    getUnreadSinceMs: (socket) => {
      const accept = cameAfterMs.get(socket);
      return accept !== undefined && accept.acceptedMs >= tickBeforeMs
        ? accept.sinceMs
        : tickBeforeMs;
    },
    hasBacklog: () => accepted > 0,
  };
};
