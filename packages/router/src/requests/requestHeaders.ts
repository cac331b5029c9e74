/** The parts of a caller's headers that routing decisions depend on. */
export interface RequestHeaders {
  /** The caller's id of this attempt; targets echo it. */
  readonly attemptId?: string;
  readonly key?: string;
  /** How long the caller waits for the response, in milliseconds. */
  readonly deadlineMs?: number;
  readonly promptTokens?: number;
  readonly maxOutputTokens?: number;
  readonly expectedOutputTokens?: number;
  /** Ids of the parts of the prompt that other requests may share, in order; undefined if the caller names none. */
  readonly sharedPromptParts?: readonly string[];
  /** Id of the last event of this stream that the caller has received. */
  readonly lastEventId?: string;
}
