import type { Tier } from '@parsleyhall/common';
import type { SideState } from '../sideState.js';

/** Predicted wait of a new reservation of the tier: all that is before it, in milliseconds. */
export const predictWaitMs = (state: SideState, tier: Tier): number => {
  const workMs = state.queue.tiers
    .slice(0, tier)
    .reduce((sum, tierQueue) => sum + tierQueue.workMs, 0);
  return Math.max(0, Math.round(workMs / state.drain.rate));
};
