import type { OutcomeCounts } from './outcomeCounts.js';

/** Counts without any response. */
export const newOutcomeCounts = (): OutcomeCounts => ({
  oldResponses: 0,
  oldBad: 0,
  newResponses: 0,
  newBad: 0,
});
