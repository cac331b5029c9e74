/** How teams' quotas are kept by all entries together. */
export interface QuotaPolicy {
  /** Quotas hold in any window of this length, in milliseconds. */
  readonly windowMs: number;
  /** The part of an allowance by which all entries together may exceed it. */
  readonly overshoot: number;
  /** What they may take beyond that, in the quota's unit. */
  readonly slack: number;
}
