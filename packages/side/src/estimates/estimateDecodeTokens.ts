import type { Work } from '../queue/work.js';
import type { EstimatesState } from './estimatesState.js';
import { getLengthKey } from './getLengthKey.js';

const MINIMUM_SAMPLES = 3;

/** Expected decode tokens of the work, at most what its caller allows. */
export const estimateDecodeTokens = (
  estimates: EstimatesState,
  work: Pick<Work, 'team' | 'kind' | 'decodeTokens'>,
): number => {
  const key = getLengthKey(work);
  const learned = estimates.lengths.get(key) ?? estimates.olderLengths.get(key);
  return learned === undefined || learned.samples < MINIMUM_SAMPLES
    ? work.decodeTokens
    : Math.min(work.decodeTokens, learned.decodeTokens);
};
