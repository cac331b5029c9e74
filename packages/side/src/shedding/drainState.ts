/** How fast this queue empties, whoever takes its reservations. */
export interface DrainState {
  /** Milliseconds of this target's work that leave the queue in a millisecond. */
  readonly rate: number;
  readonly periodStartMs: number;
  /** Milliseconds of work that have left in this period. */
  readonly departedMs: number;
  /** True when the queue has been empty in this period, so that the period tells nothing. */
  readonly wasEmpty: boolean;
}
