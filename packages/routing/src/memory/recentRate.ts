/** The rate of arrivals in the last moments. */
export interface RecentRate {
  /** Arrivals per millisecond, as of `atMs`. */
  readonly perMs: number;
  /** In milliseconds of the monotonic clock. */
  readonly atMs: number;
}
