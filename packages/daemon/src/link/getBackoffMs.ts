const FIRST_BACKOFF_MS = 50;
const LONGEST_BACKOFF_MS = 1_000;
const HALF = 0.5;

/** Wait before the next connection after some failures in a row, in milliseconds; spread between half and whole. */
export const getBackoffMs = (failures: number, getRandom: () => number): number => {
  const whole = Math.min(LONGEST_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** failures);
  return whole * (HALF + HALF * getRandom());
};
