/** A request whose send broke off unanswered when its target crashed. */
export interface CrashEvidence {
  /** Identifies the target and its start. */
  readonly targetStart: string;
  /** When the send broke off, in milliseconds of the monotonic clock. */
  readonly atMs: number;
  /** All shared parts of the request's prompt. */
  readonly parts: readonly string[];
  /** Observed by this entry. */
  readonly isLocal: boolean;
  /** It is established that the target crashed, and did not only break off this send. */
  readonly isConfirmed: boolean;
}
