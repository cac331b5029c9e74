/** A quarantine as entries pass it on. All times are in milliseconds. */
export interface SharedQuarantine {
  readonly parts: readonly string[];
  /** Time since the first of the crashes that it explains, or since its last trial began. */
  readonly ageMs: number;
  /** Time until a trial is due; negative if it has been. */
  readonly leftMs: number;
  readonly holdMs: number;
}
