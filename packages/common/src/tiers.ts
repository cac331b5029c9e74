import type { Tier } from './tier.js';

/** All tiers, from the highest down. */
export const TIERS: readonly Tier[] = [1, 2, 3, 4];
