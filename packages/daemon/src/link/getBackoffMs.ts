const INITIAL_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 1_000;
const HALF = 0.5;

/** Returns the delay before the next connection attempt: exponential, with jitter between half and all of it. */
export const getBackoffMs = (consecutiveFailures: number, getRandom: () => number): number => {
  const fullBackoffMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** consecutiveFailures);
  return fullBackoffMs * (HALF + HALF * getRandom());
};
