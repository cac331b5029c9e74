import type { EstimatesState } from './estimatesState.js';

const UNLEARNED_BETWEEN_TOKENS_MS = 1;
const MINIMUM_WEIGHT = 5;
const MINIMUM_VARIANCE = 0.5;

/** Expected time between tokens in a batch of the size, in milliseconds. */
export const predictBetweenTokensMs = (
  { betweenTokens }: EstimatesState,
  batchSize: number,
): number => {
  const { weight, x, xx, y, xy } = betweenTokens;
  if (weight < MINIMUM_WEIGHT) {
    return weight > 0 ? y / weight : UNLEARNED_BETWEEN_TOKENS_MS;
  }
  const meanX = x / weight;
  const meanY = y / weight;
  const variance = xx / weight - meanX * meanX;
  if (variance < MINIMUM_VARIANCE) {
    return meanY;
  }
  const slope = Math.max(0, (xy / weight - meanX * meanY) / variance);
  return Math.max(meanY / 4, meanY + slope * (batchSize - meanX));
};
