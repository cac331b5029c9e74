/** How many sends beyond the first of each request a service may get, from all entries together. */
export interface RetryPolicy {
  /** Per request of the same window. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Sends in each window whatever the requests. */
  readonly slack: number;
}
