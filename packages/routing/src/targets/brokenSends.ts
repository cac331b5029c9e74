/** Sends to a target that broke off together. */
export interface BrokenSends {
  /** In milliseconds of the monotonic clock. */
  readonly firstAtMs: number;
  readonly count: number;
  /** The target's memory was so full, since its current start, that it may have crashed for that. */
  readonly isMemoryExceeded: boolean;
}
