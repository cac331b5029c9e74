/** A span of virtual time, in milliseconds. */
export interface TimeWindow {
  readonly fromMs: number;
  readonly untilMs: number;
}
