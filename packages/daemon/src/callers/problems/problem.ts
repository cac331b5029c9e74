/** A problem document (RFC 9457), with the retry delay for the response's headers. */
export interface Problem {
  /** Stable URN of the problem type. */
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  /** Time after which a retry makes sense, in milliseconds; absent when a retry is pointless. */
  readonly retryAfterMs?: number;
}
