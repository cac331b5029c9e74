import type { QuotaAccount } from './quotaAccount.js';

/** The usage within the window that ends now. */
export const getQuotaUsed = (account: QuotaAccount, nowMs: number, windowMs: number): number =>
  account.buckets
    .filter(({ startMs }) => startMs > nowMs - windowMs)
    .reduce((sum, { used }) => sum + used, 0);
