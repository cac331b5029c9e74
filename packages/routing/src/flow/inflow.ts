/** Work that has lately been taken in for one place in the order. */
export interface Inflow {
  readonly rank: number;
  readonly lane: number;
  /** Milliseconds of nominal run per millisecond, as of `atMs`: as many slots as it keeps busy. */
  readonly slots: number;
  readonly atMs: number;
}
