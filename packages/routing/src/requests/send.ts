/** One hand-over of a request to a target. */
export interface Send {
  readonly sendId: number;
  readonly targetId: string;
  readonly sentMs: number;
  /** When the answer's first bytes came, in milliseconds of the steady clock; undefined before. */
  readonly beganMs?: number;
  /** When the latest bytes came; the start of the send before the first. */
  readonly latestMs: number;
  /** Status of the target's answer, once its head has come. */
  readonly status?: number;
  /** The longest pause since the first bytes, in milliseconds; undefined until there is one. */
  readonly longestGapMs?: number;
  /** Whether an earlier send of the request may have run. */
  readonly mayHaveRunBefore: boolean;
}
