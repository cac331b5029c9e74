/** An HTTP answer with its body read as JSON. */
export interface HttpAnswer {
  readonly status: number;
  /** Time to wait before trying again as the service asks, in milliseconds. */
  readonly retryAfterMs: number;
  /** The body; undefined when it is no JSON. */
  readonly body: unknown;
}
