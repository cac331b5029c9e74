import { getQuotaUsed } from './getQuotaUsed.js';
import type { QuotaAccount } from './quotaAccount.js';

/** Time until the cost fits into the window's allowance, in milliseconds; 0 if it fits now. */
export const getQuotaWaitMs = ({
  account,
  allowance,
  cost,
  nowMs,
  windowMs,
}: {
  readonly account: QuotaAccount;
  readonly allowance: number;
  readonly cost: number;
  readonly nowMs: number;
  readonly windowMs: number;
}): number => {
  const recent = account.buckets.filter(({ startMs }) => startMs > nowMs - windowMs);
  let excess = getQuotaUsed(account, nowMs, windowMs) + cost - allowance;
  if (excess <= 0 || recent.length === 0) {
    return 0;
  }
  for (const { startMs, used } of recent) {
    excess -= used;
    if (excess <= 0) {
      return Math.max(1, startMs + windowMs - nowMs);
    }
  }
  return windowMs;
};
