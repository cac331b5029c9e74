/** Decayed sums of a straight line through the time between tokens (y) over the size of the batch (x). */
export interface BatchFit {
  readonly weight: number;
  readonly x: number;
  readonly xx: number;
  readonly y: number;
  readonly xy: number;
}
