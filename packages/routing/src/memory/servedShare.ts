/** How many requests of a group arrived and were sent lately, as sums that decay with the same time constant. */
export interface ServedShare {
  readonly arrived: number;
  readonly sent: number;
  /** The moment up to which the sums have decayed, in milliseconds of the monotonic clock. */
  readonly atMs: number;
}
