/** A caller's request as the scheduler sees it. */
export interface Arrival {
  /** Given by this entry, unique in it. */
  readonly requestId: number;
  /** The caller's own id of this attempt; undefined where it gave none. */
  readonly attemptId?: string;
  readonly host: string;
  readonly path: string;
  readonly key?: string;
  /** How long its caller has waited by now, as far as this entry can tell, in milliseconds. */
  readonly elapsedMs: number;
  /** How long the caller waits in all, in milliseconds; undefined where it does not say. */
  readonly deadlineMs?: number;
  /** How long it may have lain unread in front of this entry, in milliseconds; undefined where that is little. */
  readonly unreadMs?: number;
  readonly promptTokens?: number;
  readonly maxOutputTokens?: number;
  /** The caller's guess of the output's tokens. */
  readonly expectedOutputTokens?: number;
  /** Drawn by the shell, from 0 to under 1. */
  readonly random: number;
}
