import type { QuotaAccount } from './quotaAccount.js';

/** What was taken in the window that ends now. */
export const getQuotaTaken = (account: QuotaAccount, nowMs: number, windowMs: number): number =>
  account.spans
    .filter(({ startMs }) => startMs > nowMs - windowMs)
    .reduce((sum, { taken }) => sum + taken, 0);
