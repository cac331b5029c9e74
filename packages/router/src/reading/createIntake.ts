import type { Intake } from './intake.js';
import { isUnreadForLong } from './isUnreadForLong.js';
import type { ReadingWatch } from './readingWatch.js';

/** How long what was read waits for connections that are not accepted, in milliseconds. */
const LONGEST_HOLD_MS = 150;
/** So many turns pass between two starts of what waited that long while connections still wait. */
const TURNS_BETWEEN_STARTS = 4;
/** After so long the connections are read again before more is started, in milliseconds. */
const SLICE_MS = 20;
/** The end of a connection is read a turn after its last bytes. */
const TURNS_TO_READ_AN_END = 2;

interface Held {
  readonly readMs: number;
  /** It may be started from this turn on. */
  readonly fromTurn: number;
  readonly start: () => void;
  readonly drop: () => void;
  readonly isGone: () => boolean;
  readonly release: () => void;
}

/**
 * Creates an empty intake. While connections wait to be accepted, what was read waits here and not there, since a
 * caller that leaves is noticed only on a connection that is read.
 */
export const createIntake = (reading: ReadingWatch, getNowMs: () => number): Intake => {
  const queue: Held[] = [];
  let turn = 0;
  let startedTurn = 0;

  const mayStart = (held: Held, sliceMs: number): boolean => {
    if (turn < held.fromTurn) {
      return false;
    }
    return reading.hasBacklog()
      ? turn >= startedTurn + TURNS_BETWEEN_STARTS && getNowMs() - held.readMs > LONGEST_HOLD_MS
      : sliceMs < SLICE_MS;
  };

  const work = (): void => {
    turn += 1;
    const beganMs = getNowMs();
    for (let held = queue[0]; held !== undefined; held = queue[0]) {
      const isGone = held.isGone();
      if (!isGone && !mayStart(held, getNowMs() - beganMs)) {
        setImmediate(work);
        return;
      }
      queue.shift();
      held.release();
      if (isGone) {
        held.drop();
      } else {
        startedTurn = turn;
        held.start();
      }
    }
  };

  const hold = (held: Held): void => {
    queue.push(held);
    if (queue.length === 1) {
      setImmediate(work);
    }
  };

  return {
    take: ({ request: { socket }, response, unreadSinceMs, start, drop }) => {
      const readMs = getNowMs();
      const mustLookAgain = isUnreadForLong(unreadSinceMs, readMs);
      if (queue.length === 0 && !mustLookAgain && !reading.hasBacklog()) {
        start();
        return;
      }
      let hasEnded = false;
      const noteEnd = (): void => {
        hasEnded = true;
      };
      socket.once('end', noteEnd);
      hold({
        readMs,
        fromTurn: mustLookAgain ? turn + TURNS_TO_READ_AN_END : turn,
        start,
        drop,
        isGone: () => hasEnded || socket.destroyed || response.destroyed,
        release: () => {
          socket.removeListener('end', noteEnd);
        },
      });
    },
  };
};
