import type { Occupancy } from './occupancy.js';

/** Nothing granted and nothing running. */
export const EMPTY_OCCUPANCY: Occupancy = {
  requests: 0,
  byTier: [0, 0, 0, 0],
  tokens: 0,
  longPrefills: 0,
  prefillTokensAhead: 0,
};
