import type { QuotaBucket } from './quotaBucket.js';

/** A team's recent quota usage, as far as this entry knows. */
export interface QuotaAccount {
  /** Usage of all entries together, the oldest first. */
  readonly buckets: readonly QuotaBucket[];
  /** Total usage through this entry since its start, less refunds. */
  readonly usedHere: number;
}
