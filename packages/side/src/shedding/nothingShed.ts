import type { SheddingState } from './sheddingState.js';

/** All tiers are open. */
export const NOTHING_SHED: SheddingState = { lowestTierAdmitted: 4, changedAtMs: 0 };
