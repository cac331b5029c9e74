/** The quota usage in a short span of time. */
export interface QuotaBucket {
  readonly startMs: number;
  readonly used: number;
}
