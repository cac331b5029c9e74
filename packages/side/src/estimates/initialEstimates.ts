import { Map } from 'immutable';
import type { EstimatesState } from './estimatesState.js';

// Hopeful, since only work that is taken teaches anything.
const INITIAL_PREFILL_TOKENS_PER_MS = 50;
const INITIAL_FIRST_TOKEN_BASE_MS = 5;
const INITIAL_RESPONSE_MS = 5;

/** The estimates before anything has been seen. */
export const INITIAL_ESTIMATES: EstimatesState = {
  prefillTokensPerMs: INITIAL_PREFILL_TOKENS_PER_MS,
  firstTokenBaseMs: INITIAL_FIRST_TOKEN_BASE_MS,
  betweenTokens: { weight: 0, x: 0, xx: 0, y: 0, xy: 0 },
  recentBetweenTokensMs: 0,
  responseMs: INITIAL_RESPONSE_MS,
  lengths: Map(),
  olderLengths: Map(),
  finishErrorShare: 0,
  lengthErrorShare: 0,
};
