/** What was taken of a quota in a short span of time. */
export interface QuotaSpan {
  readonly startMs: number;
  readonly taken: number;
}
