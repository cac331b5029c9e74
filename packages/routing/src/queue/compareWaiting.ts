import type { Ranked } from './ranked.js';

/** Negative where the left is started first. */
export const compareWaiting = (left: Ranked, right: Ranked): number =>
  left.rank - right.rank ||
  left.lane - right.lane ||
  Number(left.isLate) - Number(right.isLate) ||
  left.request.objectiveAtMs - right.request.objectiveAtMs;
