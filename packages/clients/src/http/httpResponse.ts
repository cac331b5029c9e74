/** An HTTP response with its body parsed as JSON. */
export interface HttpResponse {
  readonly status: number;
  /** Delay before a retry, in milliseconds: from the `Retry-After` header, or a default if there is no valid header. */
  readonly retryAfterMs: number;
  /** The parsed body; undefined if it is not valid JSON. */
  readonly body: unknown;
}
