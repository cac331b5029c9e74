/** A span in which an entry did not run, or only just did again. Milliseconds of the soak's steady clock. */
export interface Disturbance {
  readonly entry: number;
  readonly kind: 'killed' | 'paused' | 'stopped';
  readonly fromMs: number;
  /** Undefined while it lasts. */
  untilMs?: number;
}
