import type { Tier } from '@parsleyhall/common';

/** What one tier achieved in one slice of the long window. */
export interface BurnPoint {
  /** End of the slice on the wall clock, in milliseconds. */
  readonly atMs: number;
  readonly tier: Tier;
  readonly achieved: number;
}
