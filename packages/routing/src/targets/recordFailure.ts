import { updateAverage } from './updateAverage.js';
import type { Target } from './target.js';

/** The weight of a failure in the moving average of the failure share. */
const FAILURE_WEIGHT = 0.2;
const MIN_COOLDOWN_MS = 250;
const MAX_COOLDOWN_MS = 3_000;

/**
 * Records a failed send, or one that the target rejected without running it; the more of the recent sends failed, the
 * longer the target's cooldown.
 */
export const recordFailure = (target: Target, isRejection: boolean, nowMs: number): Target => {
  const failureShare = updateAverage(target.failureShare, 1, FAILURE_WEIGHT);
  const cooldownMs = MIN_COOLDOWN_MS + failureShare * (MAX_COOLDOWN_MS - MIN_COOLDOWN_MS);
  return { ...target, failureShare, isRejecting: isRejection, cooldownUntilMs: nowMs + cooldownMs };
};
