import type { Tier } from '@parsleyhall/common';

/** Share of a tier's requests that succeeded on time in one time slice of the long window. */
export interface BurnPoint {
  /** End of the slice on the wall clock, in milliseconds. */
  readonly atMs: number;
  readonly tier: Tier;
  readonly achieved: number;
}
