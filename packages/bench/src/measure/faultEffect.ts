/** What a fault left to be checked after the run. */
export interface FaultEffect {
  /** Runs that a drained target began after the time allowed; undefined without a drain. */
  readonly countWorkAfterDrain: (() => Promise<number>) | undefined;
}
