/** The moving mean after a sample; the gain is the sample's weight, from 0 to 1. */
export const follow = (mean: number, sample: number, gain: number): number =>
  mean + gain * (sample - mean);
