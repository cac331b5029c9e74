import type { TimeWindow } from './timeWindow.js';

/** When something known at a time must have been heeded: the allowance starts anew after each window that hinders it. */
export const getDueMs = (
  knownAtMs: number,
  allowanceMs: number,
  hindrances: readonly TimeWindow[],
): number =>
  [...hindrances]
    .sort((left, right) => left.fromMs - right.fromMs)
    .reduce(
      (dueMs, { fromMs, untilMs }) =>
        fromMs < dueMs && untilMs > knownAtMs ? Math.max(dueMs, untilMs + allowanceMs) : dueMs,
      knownAtMs + allowanceMs,
    );
