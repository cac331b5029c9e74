import type { EstimatesState } from './estimatesState.js';
import { follow } from './follow.js';

const DECAY = 0.998;
const RECENT_GAIN = 0.1;

/** The estimates after a token came so long after the one before it, in a batch of the size. */
export const learnBetweenTokens = (
  estimates: EstimatesState,
  { betweenTokensMs, batchSize }: { readonly betweenTokensMs: number; readonly batchSize: number },
): EstimatesState => {
  const { weight, x, xx, y, xy } = estimates.betweenTokens;
  const recent = estimates.recentBetweenTokensMs;
  return {
    ...estimates,
    betweenTokens: {
      weight: weight * DECAY + 1,
      x: x * DECAY + batchSize,
      xx: xx * DECAY + batchSize * batchSize,
      y: y * DECAY + betweenTokensMs,
      xy: xy * DECAY + batchSize * betweenTokensMs,
    },
    recentBetweenTokensMs:
      recent === 0 ? betweenTokensMs : follow(recent, betweenTokensMs, RECENT_GAIN),
  };
};
