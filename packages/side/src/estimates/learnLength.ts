import { Map } from 'immutable';
import type { Work } from '../queue/work.js';
import type { EstimatesState } from './estimatesState.js';
import { estimateDecodeTokens } from './estimateDecodeTokens.js';
import { follow } from './follow.js';
import { getLengthKey } from './getLengthKey.js';

const MAXIMUM_LENGTHS = 2_048;
const GAIN = 0.1;
const ERROR_GAIN = 0.05;

/** The estimates after an answer of the work came to so many decode tokens. */
export const learnLength = (
  estimates: EstimatesState,
  work: Work,
  decodeTokens: number,
): EstimatesState => {
  const key = getLengthKey(work);
  const known = estimates.lengths.get(key) ?? estimates.olderLengths.get(key);
  const samples = (known?.samples ?? 0) + 1;
  const mean = follow(known?.decodeTokens ?? 0, decodeTokens, Math.max(GAIN, 1 / samples));
  const expected = Math.max(1, estimateDecodeTokens(estimates, work));
  const errorShare = Math.abs(decodeTokens - expected) / expected;
  const isFull = estimates.lengths.size >= MAXIMUM_LENGTHS;
  const lengths = isFull
    ? Map<string, { decodeTokens: number; samples: number }>()
    : estimates.lengths;
  return {
    ...estimates,
    lengths: lengths.set(key, { decodeTokens: mean, samples }),
    olderLengths: isFull ? estimates.lengths : estimates.olderLengths,
    lengthErrorShare: follow(estimates.lengthErrorShare, errorShare, ERROR_GAIN),
  };
};
