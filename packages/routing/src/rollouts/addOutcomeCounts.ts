import type { OutcomeCounts } from './outcomeCounts.js';

/** The sum of two counts. */
export const addOutcomeCounts = (left: OutcomeCounts, right: OutcomeCounts): OutcomeCounts => ({
  oldResponses: left.oldResponses + right.oldResponses,
  oldBad: left.oldBad + right.oldBad,
  newResponses: left.newResponses + right.newResponses,
  newBad: left.newBad + right.newBad,
});
