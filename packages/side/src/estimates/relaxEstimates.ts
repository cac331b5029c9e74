import type { EstimatesState } from './estimatesState.js';

const RELAXATION = 0.9;
const MAXIMUM_PREFILL_TOKENS_PER_MS = 50;

/**
 * The estimates after a while in which nothing ran: a little more hopeful, so that a target which was slow is tried again
 * although its estimates speak against all work.
 */
export const relaxEstimates = (estimates: EstimatesState): EstimatesState => ({
  ...estimates,
  prefillTokensPerMs: Math.max(
    estimates.prefillTokensPerMs,
    Math.min(MAXIMUM_PREFILL_TOKENS_PER_MS, estimates.prefillTokensPerMs / RELAXATION),
  ),
  firstTokenBaseMs: estimates.firstTokenBaseMs * RELAXATION,
  betweenTokens: {
    ...estimates.betweenTokens,
    y: estimates.betweenTokens.y * RELAXATION,
    xy: estimates.betweenTokens.xy * RELAXATION,
  },
  recentBetweenTokensMs: 0,
  responseMs: estimates.responseMs * RELAXATION,
});
