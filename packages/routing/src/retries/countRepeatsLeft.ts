import type { RetryCount } from './retryCount.js';
import type { RetryPolicy } from './retryPolicy.js';

/** The part of the allowance that is used, so that windows cut otherwise than these hold too. */
const MARGIN = 0.8;

/**
 * How many more repeats are within this entry's part of the allowance. Each entry counts its own requests, so the
 * parts of all entries add up to the whole; only the fixed slack is divided by their number.
 */
export const countRepeatsLeft = ({
  counts,
  policy,
  entries,
  nowMs,
}: {
  readonly counts: readonly RetryCount[];
  readonly policy: RetryPolicy;
  readonly entries: number;
  readonly nowMs: number;
}): number => {
  const recent = counts.filter(({ startMs }) => startMs > nowMs - policy.windowMs);
  const requests = recent.reduce((sum, count) => sum + count.requests, 0);
  const repeats = recent.reduce((sum, count) => sum + count.repeats, 0);
  const allowed = MARGIN * (policy.ratio * requests + policy.slack / Math.max(1, entries));
  return allowed - repeats;
};
