/** What a target reported about itself in a response. It takes precedence over the list of targets. */
export interface TargetReport {
  /** When the target that reported it had started; undefined if the list did not state it. */
  readonly startedAtMs?: number;
  /** It is draining: it accepts no new work and will shut down. */
  readonly isLeaving: boolean;
  /** It refuses requests of this entry until this moment, in milliseconds of the monotonic clock. */
  readonly refusesUntilMs: number;
  /** When it was last reported, in milliseconds of the monotonic clock. */
  readonly reportedAtMs: number;
}
