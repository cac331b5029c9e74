/** Prefill tokens computed whose answer did not count, by cause, and prefix tokens computed again. */
export interface WastedPrefill {
  readonly late: number;
  readonly hungUp: number;
  readonly lost: number;
  readonly refused: number;
  /** Prefill of a shared prefix that an engine of the pool had computed before. */
  readonly prefixAgain: number;
}
