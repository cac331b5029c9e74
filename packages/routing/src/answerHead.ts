/** The head of a target's answer, as far as decisions depend on it. */
export interface AnswerHead {
  readonly status: number;
  /** It bears the target's signature. */
  readonly isSealed: boolean;
  /** The target says that it has not run the request. */
  readonly isNotRun: boolean;
  /** It belongs to another request, or its body is not the target's own. */
  readonly isForeign: boolean;
  /** The target says that it takes no new work and will go away. */
  readonly isLeaving: boolean;
  /** The target turned the request away and wants nothing of this entry for so long, in milliseconds. */
  readonly restMs?: number;
}
