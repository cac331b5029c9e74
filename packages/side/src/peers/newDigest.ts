import { MS_PER_SECOND } from '@parsleyhall/common';
import type { SideDigest } from '@parsleyhall/protocol';
import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import { predictBetweenTokensMs } from '../estimates/predictBetweenTokensMs.js';
import { getLowestTierAdmitted } from '../shedding/getLowestTierAdmitted.js';
import { predictWaitMs } from '../shedding/predictWaitMs.js';

// Rates are rounded so that a digest does not change with every token.
const RATE_STEP = 100;

const roundRate = (tokensPerSecond: number): number =>
  Math.round(tokensPerSecond / RATE_STEP) * RATE_STEP;

const getDecodeRate = (state: SideState): number => {
  const batchSize = Math.max(1, Math.floor(state.window.requests));
  return (batchSize * MS_PER_SECOND) / predictBetweenTokensMs(state.estimates, batchSize);
};

/** The load of this process in brief. */
export const newDigest = (context: SideContext, state: SideState): SideDigest => {
  const { occupancy, window, estimates, queue } = state;
  const [first, second, third, fourth] = queue.tiers;
  return {
    runningRequests: occupancy.requests,
    windowRequests: Math.max(1, Math.floor(window.requests)),
    prefillTokensAhead: occupancy.prefillTokensAhead,
    waitingTokensByTier: [
      Math.round(first.tokens),
      Math.round(second.tokens),
      Math.round(third.tokens),
      Math.round(fourth.tokens),
    ],
    waitingByTier: [first.requests, second.requests, third.requests, fourth.requests],
    runningByTier: occupancy.byTier,
    prefillTokensPerSecond: roundRate(estimates.prefillTokensPerMs * MS_PER_SECOND),
    decodeTokensPerSecond: roundRate(getDecodeRate(state)),
    predictedWaitMsByTier: [
      predictWaitMs(state, 1),
      predictWaitMs(state, 2),
      predictWaitMs(state, 3),
      predictWaitMs(state, 4),
    ],
    lowestTierAdmitted: getLowestTierAdmitted(state),
    takesLongPrefills: context.decisions.allowsLongPrefill({
      occupancy,
      window,
      waitingShortTierOne: first.short.teams.size,
    }),
    isLeaving: !context.decisions.acceptsNewWork(state.leaving),
  };
};
