/**
 * Updates an exponential moving average with a value of this weight, from 0 to 1; the value itself if there is no mean
 * yet.
 */
export const updateAverage = (mean: number | undefined, value: number, weight: number): number =>
  mean === undefined ? value : mean + weight * (value - mean);
