import type { QuotaAccount } from './quotaAccount.js';

/** Usage within this span of time is added up in one bucket. */
const BUCKET_MS = 250;

/** Adds an amount to the current bucket and drops buckets older than the window; a negative amount is a refund. */
export const chargeQuota = ({
  account,
  amount,
  nowMs,
  windowMs,
}: {
  readonly account: QuotaAccount;
  readonly amount: number;
  readonly nowMs: number;
  readonly windowMs: number;
}): QuotaAccount => {
  const startMs = Math.floor(nowMs / BUCKET_MS) * BUCKET_MS;
  const recent = account.buckets.filter((bucket) => bucket.startMs > nowMs - windowMs - BUCKET_MS);
  const last = recent.at(-1);
  const buckets =
    last?.startMs === startMs
      ? [...recent.slice(0, -1), { startMs, used: last.used + amount }]
      : [...recent, { startMs, used: amount }];
  return { ...account, buckets };
};
