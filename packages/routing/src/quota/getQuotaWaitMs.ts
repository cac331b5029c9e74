import { getQuotaTaken } from './getQuotaTaken.js';
import type { QuotaAccount } from './quotaAccount.js';

/** How long until the cost fits into the allowance of a window, in milliseconds; 0 where it does now. */
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
  const recent = account.spans.filter(({ startMs }) => startMs > nowMs - windowMs);
  let excess = getQuotaTaken(account, nowMs, windowMs) + cost - allowance;
  if (excess <= 0 || recent.length === 0) {
    return 0;
  }
  for (const { startMs, taken } of recent) {
    excess -= taken;
    if (excess <= 0) {
      return Math.max(1, startMs + windowMs - nowMs);
    }
  }
  return windowMs;
};
