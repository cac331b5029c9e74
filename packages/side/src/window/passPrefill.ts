import type { Work } from '../queue/work.js';
import type { Occupancy } from './occupancy.js';

/** The occupancy after the work's first token was seen. */
export const passPrefill = (occupancy: Occupancy, work: Work): Occupancy => ({
  ...occupancy,
  longPrefills: occupancy.longPrefills - (work.isLongPrefill ? 1 : 0),
  prefillTokensAhead: occupancy.prefillTokensAhead - work.prefillTokens,
});
