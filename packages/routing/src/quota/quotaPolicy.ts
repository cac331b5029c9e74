/** How all entries together enforce the teams' quotas. */
export interface QuotaPolicy {
  /** Quotas are enforced over any sliding window of this length, in milliseconds. */
  readonly windowMs: number;
  /** The share of a quota's allowance by which all entries together may exceed it. */
  readonly overshoot: number;
  /** Fixed amount by which they may exceed it further, in the quota's unit. */
  readonly slack: number;
}
