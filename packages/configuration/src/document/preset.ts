import type { TeamName, Tier } from '@parsleyhall/common';
import type { TierObjective } from './tierObjective.js';

/** A complete set of operating rules; exactly one is in force. */
export interface Preset {
  readonly name: string;
  readonly tiers: readonly TierObjective[];
  /** Tier of a request that names none. */
  readonly defaultTier: Tier;
  /** Lowest tier admitted under this preset; 4 admits all. */
  readonly lowestTierAdmitted: Tier;
  /** Share of each target's window kept free for tier one, from 0 to 1. */
  readonly tierOneReservedShare: number;
  readonly teamLimits: readonly {
    readonly team: TeamName;
    readonly requestsPerSecond?: number | undefined;
    readonly tokensPerSecond?: number | undefined;
    readonly waitingRequests?: number | undefined;
    readonly waitingBytes?: number | undefined;
  }[];
  /** Price of a million prefill tokens in the operator's currency, for the burn report. */
  readonly pricePerMillionPrefillTokens: number;
}
