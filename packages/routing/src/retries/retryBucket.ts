/** The requests and retries of one service in a short span of time. */
export interface RetryBucket {
  readonly startMs: number;
  readonly requests: number;
  readonly retries: number;
}
