/** Counts for tiers 1 to 4, in that order. */
export type CountByTier = readonly [number, number, number, number];
