import type { SideDigest } from '@parsleyhall/protocol';
import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';

const NO_TIERS = [0, 0, 0, 0] as const;

/** The load of this process in brief. */
export const newDigest = (context: SideContext, state: SideState): SideDigest => {
  const [first, second, third, fourth] = state.queue.tiers;
  return {
    runningRequests: state.occupancy.requests,
    windowRequests: Math.floor(state.window.requests),
    prefillTokensAhead: state.occupancy.prefillTokensAhead,
    waitingTokensByTier: [first.tokens, second.tokens, third.tokens, fourth.tokens],
    waitingByTier: [first.requests, second.requests, third.requests, fourth.requests],
    runningByTier: state.occupancy.byTier,
    prefillTokensPerSecond: 0,
    decodeTokensPerSecond: 0,
    predictedWaitMsByTier: NO_TIERS,
    lowestTierAdmitted: 4,
    takesLongPrefills: true,
    isLeaving: !context.decisions.acceptsNewWork(state.leaving),
  };
};
