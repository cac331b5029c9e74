import type { Tier } from '@parsleyhall/common';

/** Which tiers are closed because of load; times in milliseconds. */
export interface SheddingState {
  /** The lowest tier that is not closed; 4 when none is. */
  readonly lowestTierAdmitted: Tier;
  readonly changedAtMs: number;
}
