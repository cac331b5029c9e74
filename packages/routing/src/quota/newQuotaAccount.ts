import type { QuotaAccount } from './quotaAccount.js';

/** An account without any usage. */
export const newQuotaAccount = (): QuotaAccount => ({ buckets: [], usedHere: 0 });
