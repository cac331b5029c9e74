/** What one service got in a span of time. */
export interface RetryCount {
  readonly startMs: number;
  readonly requests: number;
  readonly repeats: number;
}
