import type { Tier } from './tier.js';

/** All tiers, from the most to the least urgent. */
export const TIERS: readonly Tier[] = [1, 2, 3, 4];
