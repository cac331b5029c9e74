import type { RoutingState } from '../routingState.js';

/** The share of the budget that is used, so that it also holds over windows that do not align with the buckets. */
const BUDGET_SHARE = 0.8;

/**
 * How many more retries this entry may send to a service now; a fraction below 1 allows none. Each entry counts its own
 * requests, so the budgets of all entries add up to the total; only the fixed slack is divided by their number.
 */
export const getRetryBudgetLeft = (
  { peers, retryBuckets, settings }: RoutingState,
  service: string,
  nowMs: number,
): number => {
  const { ratio, slack, windowMs } = settings.retries;
  const buckets = retryBuckets.get(service) ?? [];
  const recent = buckets.filter(({ startMs }) => startMs > nowMs - windowMs);
  const requests = recent.reduce((sum, bucket) => sum + bucket.requests, 0);
  const retries = recent.reduce((sum, bucket) => sum + bucket.retries, 0);
  const entries = peers.size + 1;
  return BUDGET_SHARE * (ratio * requests + slack / entries) - retries;
};
