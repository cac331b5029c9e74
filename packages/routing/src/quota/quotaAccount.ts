import type { QuotaSpan } from './quotaSpan.js';

/** What a team took of its quota lately, as this entry knows it. */
export interface QuotaAccount {
  /** By all entries together; the oldest first. */
  readonly spans: readonly QuotaSpan[];
  /** All that this entry took since its start, less what it gave back. */
  readonly takenHere: number;
}
