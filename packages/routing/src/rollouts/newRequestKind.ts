import { newOutcomeCounts } from './newOutcomeCounts.js';
import type { RequestKind } from './requestKind.js';

/** A kind of request before the first one. */
export const newRequestKind = (): RequestKind => ({
  requests: 0,
  exposed: 0,
  counts: newOutcomeCounts(),
  oldSamples: 0,
});
