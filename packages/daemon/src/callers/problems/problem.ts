/** A problem document of RFC 9457, with what the answer's head needs. */
export interface Problem {
  /** Stable URN of the kind of problem. */
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  /** When trying again makes sense, in milliseconds; absent when it does not. */
  readonly retryAfterMs?: number;
}
