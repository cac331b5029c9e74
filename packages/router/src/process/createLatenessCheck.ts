import type { LatenessCheck } from './latenessCheck.js';

/** Callers leave a request that nobody reads after a second, or a third of their time. */
const LATE_MS = 200;
/** How long after a late tick what is read may still be outdated. */
const AFTER_MS = 200;

/** Creates a check for ticks of this period, in milliseconds. */
export const createLatenessCheck = (periodMs: number, getNowMs: () => number): LatenessCheck => {
  let tickedMs = getNowMs();
  let behindUntilMs = -Infinity;
  const isLate = (nowMs: number): boolean => nowMs - tickedMs - periodMs > LATE_MS;
  return {
    noteTick: () => {
      const nowMs = getNowMs();
      if (isLate(nowMs)) {
        behindUntilMs = nowMs + AFTER_MS;
      }
      tickedMs = nowMs;
    },
    isBehind: () => {
      const nowMs = getNowMs();
      return nowMs < behindUntilMs || isLate(nowMs);
    },
  };
};
