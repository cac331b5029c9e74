import type { Tier } from '@parsleyhall/common';

/** The load of one side process in brief, sent on change and at most at the digest period. */
export interface SideDigest {
  readonly runningRequests: number;
  readonly windowRequests: number;
  /** Prefill tokens given to the target whose first token has not been seen. */
  readonly prefillTokensAhead: number;
  /** Tokens (prefill and decode) in waiting reservations, by tier from 1 to 4. */
  readonly waitingTokensByTier: readonly [number, number, number, number];
  readonly waitingByTier: readonly [number, number, number, number];
  readonly runningByTier: readonly [number, number, number, number];
  readonly prefillTokensPerSecond: number;
  readonly decodeTokensPerSecond: number;
  /** Predicted wait of a new reservation of each tier, in milliseconds. */
  readonly predictedWaitMsByTier: readonly [number, number, number, number];
  /** The lowest tier that is still admitted; 4 when nothing is shed. */
  readonly lowestTierAdmitted: Tier;
  /** True when the target takes long prefills now. */
  readonly takesLongPrefills: boolean;
  readonly isLeaving: boolean;
}
