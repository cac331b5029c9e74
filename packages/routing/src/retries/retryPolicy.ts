/** The retry budget of a service, for all entries together. */
export interface RetryPolicy {
  /** Retries allowed per request of the same window. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Retries allowed in each window regardless of the number of requests. */
  readonly slack: number;
}
