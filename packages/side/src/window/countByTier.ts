import type { Tier } from '@parsleyhall/common';

type CountByTier = readonly [number, number, number, number];

/** The counts by tier with one of them changed by the difference. */
export const countByTier = (counts: CountByTier, tier: Tier, difference: number): CountByTier => [
  counts[0] + (tier === 1 ? difference : 0),
  counts[1] + (tier === 2 ? difference : 0),
  counts[2] + (tier === 3 ? difference : 0),
  counts[3] + (tier === 4 ? difference : 0),
];
