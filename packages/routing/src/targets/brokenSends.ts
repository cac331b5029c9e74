/** Sends to a target that broke off together. */
export interface BrokenSends {
  /** In milliseconds of the monotonic clock. */
  readonly firstAtMs: number;
  readonly count: number;
}
