/** One arrival of a request at a target. */
export interface TargetRun {
  readonly id: string;
  readonly target: string;
  /** The earliest moment at which it may have arrived, in milliseconds of the soak's monotonic clock. */
  readonly earliestMs: number;
  /** Shared parts of the request's prompt. */
  readonly promptParts: readonly string[];
  /** What the target stated at that time to take per second from all entries; undefined if it stated nothing. */
  readonly limit?: { readonly perSecond: number; readonly sinceMs: number };
  /** Whether the target was set to break this request off or to be slow. */
  readonly isFaulty: boolean;
  /**
   * What the caller's response contained when the target had sent an event that nothing tells from the next one before
   * that follows: the sound events up to there, and that event. Undefined if the target sent no such event.
   */
  readonly bodyWithLookAlike?: string;
  /** Whether the proxy in front of the target was not open at that time or shortly before. */
  readonly isPathHarmed: boolean;
}
