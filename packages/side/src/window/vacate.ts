import type { Work } from '../queue/work.js';
import type { Occupancy } from './occupancy.js';
import { countByTier } from './countByTier.js';

/** The occupancy with the room of work past its prefill given back. */
export const vacate = (occupancy: Occupancy, work: Work): Occupancy => ({
  ...occupancy,
  requests: occupancy.requests - 1,
  byTier: countByTier(occupancy.byTier, work.tier, -1),
  tokens: occupancy.tokens - work.prefillTokens - work.decodeTokens,
});
