/** A combination of prompt parts that crashes targets. Requests with all of the parts are refused. */
export interface Quarantine {
  /** Sorted. */
  readonly parts: readonly string[];
  /**
   * When the first of the crashes that it explains happened, or its last trial began, in milliseconds of the monotonic
   * clock. An answer after that clears a part.
   */
  readonly suspectedSinceMs: number;
  /** From this moment on one request may be sent as a trial, in milliseconds of the monotonic clock. */
  readonly heldUntilMs: number;
  /** How long it is held after each decision, in milliseconds; doubles with each trial. */
  readonly holdMs: number;
}
