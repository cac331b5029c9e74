import type { TeamName, Tier } from '@parsleyhall/common';
import type { TierObjective } from './tierObjective.js';

/** A named, complete set of scheduling rules; exactly one preset is in force at a time. */
export interface Preset {
  readonly name: string;
  readonly tiers: readonly TierObjective[];
  /** Tier of requests that do not specify one. */
  readonly defaultTier: Tier;
  /** Lowest tier that is admitted; 4 admits all. */
  readonly lowestTierAdmitted: Tier;
  /** Share of each target's concurrency window that is reserved for tier 1, from 0 to 1. */
  readonly tierOneReservedShare: number;
  readonly teamLimits: readonly {
    readonly team: TeamName;
    readonly requestsPerSecond?: number | undefined;
    readonly tokensPerSecond?: number | undefined;
    readonly waitingRequests?: number | undefined;
    readonly waitingBytes?: number | undefined;
  }[];
  /** Price per million prefill tokens in the operator's currency, for the burn report. */
  readonly pricePerMillionPrefillTokens: number;
}
