/**
 * A period in which an entry was killed, paused or shutting down, up to the end of its restart. Times are milliseconds
 * of the soak's monotonic clock.
 */
export interface Disturbance {
  readonly entry: number;
  readonly kind: 'killed' | 'paused' | 'stopped';
  readonly fromMs: number;
  /** Undefined until the disturbance has ended. */
  untilMs?: number;
}
