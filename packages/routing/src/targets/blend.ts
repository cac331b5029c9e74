/** Moves a mean towards a new value by the weight, from 0 to 1; the value itself where there is no mean yet. */
export const blend = (mean: number | undefined, value: number, weight: number): number =>
  mean === undefined ? value : mean + weight * (value - mean);
