/** What a caller's headers say that decisions depend on. */
export interface CallHeaders {
  /** Echoed by targets. */
  readonly attemptId?: string;
  readonly key?: string;
  /** How long the caller waits, in milliseconds. */
  readonly deadlineMs?: number;
  readonly promptTokens?: number;
  readonly maxOutputTokens?: number;
  readonly expectedOutputTokens?: number;
  /** The last event that the caller has of this stream. */
  readonly lastEventId?: string;
}
