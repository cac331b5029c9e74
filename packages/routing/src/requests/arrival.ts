/** A newly arrived request, reduced to what the scheduler needs. */
export interface Arrival {
  /** Assigned by this entry and unique within it. */
  readonly requestId: number;
  /** The caller's id of this attempt; undefined if it sent none. */
  readonly attemptId?: string;
  readonly host: string;
  readonly path: string;
  readonly key?: string;
  /** How long the caller has been waiting so far, by this entry's best estimate, in milliseconds. */
  readonly elapsedMs: number;
  /** How long the caller has been waiting so far at least, in milliseconds; undefined if `elapsedMs` is certain. */
  readonly minElapsedMs?: number;
  /** How long the caller waits in total, in milliseconds; undefined if it does not state that. */
  readonly deadlineMs?: number;
  /** How long the request may have waited before this entry read it, in milliseconds; undefined if negligible. */
  readonly unreadMs?: number;
  /** Length of the body; undefined if unknown. */
  readonly bodyBytes?: number;
  readonly promptTokens?: number;
  readonly maxOutputTokens?: number;
  /** Ids of the parts of the prompt that other requests may share, in order; undefined if the caller names none. */
  readonly sharedPromptParts?: readonly string[];
  /** The caller's estimate of the number of output tokens. */
  readonly expectedOutputTokens?: number;
  /** A random number in [0, 1), drawn outside of the reducer to keep it pure. */
  readonly random: number;
}
