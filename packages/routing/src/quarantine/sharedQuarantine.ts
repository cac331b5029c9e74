/** A quarantine as entries pass it on. All times are in milliseconds. */
export interface SharedQuarantine {
  readonly parts: readonly string[];
  /** Time since it was decided. */
  readonly ageMs: number;
  /** Time until a trial is due; negative if it has been. */
  readonly leftMs: number;
  readonly holdMs: number;
}
