/** What a target said of itself in an answer, which holds whatever the list says. */
export interface TargetWish {
  /** The start of the target that said it; undefined where the list did not say. */
  readonly startedAtMs?: number;
  /** It takes no new work and will go away. */
  readonly isLeaving: boolean;
  /** It wants nothing of this entry before that moment, in milliseconds of the steady clock. */
  readonly refusesUntilMs: number;
  /** When it was said last, in milliseconds of the steady clock. */
  readonly saidMs: number;
}
