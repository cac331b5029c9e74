import type { QuotaAccount } from './quotaAccount.js';

/** An account of which nothing was taken. */
export const newQuotaAccount = (): QuotaAccount => ({ spans: [], takenHere: 0 });
