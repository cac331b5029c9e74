import type { Tier } from '@parsleyhall/common';
import type { CountByTier } from './countByTier.js';

/** Load of a target as reported by its side process. */
export interface TargetStatus {
  readonly runningRequests: number;
  readonly windowRequests: number;
  readonly prefillTokensAhead: number;
  readonly waitingByTier: CountByTier;
  readonly runningByTier: CountByTier;
  readonly predictedWaitMsByTier: CountByTier;
  readonly lowestTierAdmitted: Tier;
  readonly takesLongPrefills: boolean;
  readonly isLeaving: boolean;
}
