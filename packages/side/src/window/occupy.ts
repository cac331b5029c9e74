import type { Work } from '../queue/work.js';
import type { Occupancy } from './occupancy.js';
import { countByTier } from './countByTier.js';

/** The occupancy with the work's room taken, its prefill still ahead. */
export const occupy = (occupancy: Occupancy, work: Work): Occupancy => ({
  requests: occupancy.requests + 1,
  byTier: countByTier(occupancy.byTier, work.tier, 1),
  tokens: occupancy.tokens + work.prefillTokens + work.decodeTokens,
  longPrefills: occupancy.longPrefills + (work.isLongPrefill ? 1 : 0),
  prefillTokensAhead: occupancy.prefillTokensAhead + work.prefillTokens,
});
