import { clamp } from '@parsleyhall/common';
import type { EstimatesState } from './estimatesState.js';
import { predictBetweenTokensMs } from './predictBetweenTokensMs.js';

const MAXIMUM_SLOWDOWN = 20;

/** How many times slower than learned the target is of late, at least 1. */
export const getSlowdown = (estimates: EstimatesState, batchSize: number): number => {
  const expectedMs = predictBetweenTokensMs(estimates, batchSize);
  return estimates.recentBetweenTokensMs === 0
    ? 1
    : clamp(estimates.recentBetweenTokensMs / expectedMs, 1, MAXIMUM_SLOWDOWN);
};
