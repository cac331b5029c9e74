/** What a target's headers say that decisions depend on. */
export interface AnswerHeaders {
  /** The attempt that the answer belongs to; undefined where it does not say. */
  readonly attemptId?: string;
  readonly isSealed: boolean;
  /** The target says that it has not run the request. */
  readonly isNotRun: boolean;
  /** The target says that it takes no new work and will go away. */
  readonly isLeaving: boolean;
  /** The target turned the request away and wants nothing of this entry for so long, in milliseconds. */
  readonly restMs?: number;
}
