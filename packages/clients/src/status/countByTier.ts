/** Counts of tiers 1 to 4, in this order. */
export type CountByTier = readonly [number, number, number, number];
