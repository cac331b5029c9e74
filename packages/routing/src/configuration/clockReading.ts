/** A reading of both clocks of this process, such as when the configuration was last confirmed to be the newest. */
export interface ClockReading {
  /** The monotonic clock, in milliseconds. */
  readonly monotonicMs: number;
  /** The wall clock, in milliseconds since 1970. */
  readonly wallMs: number;
}
