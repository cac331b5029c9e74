import type { Tier } from '@parsleyhall/common';
import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import type { SideStep } from '../step/sideStep.js';
import type { WaitingReservation } from '../queue/waitingReservation.js';
import { getSlowdown } from '../estimates/getSlowdown.js';
import { predictUnderLoad } from '../estimates/predictUnderLoad.js';
import { handBack } from '../queue/handBack.js';
import { getRetryAfterMs } from '../shedding/getRetryAfterMs.js';
import { repeatStep } from '../step/repeatStep.js';
import { issueGrant } from './issueGrant.js';

const getPrefillAheadMs = ({ estimates, occupancy, runs }: SideState): number =>
  (occupancy.prefillTokensAhead / estimates.prefillTokensPerMs) *
  getSlowdown(estimates, runs.activeRequests);

const chooseWithRoom = (context: SideContext, state: SideState): WaitingReservation | undefined => {
  const { decisions } = context;
  const { occupancy, window, queue, rules } = state;
  const room = {
    occupancy,
    window,
    reservedShare: rules.tierOneReservedShare,
    prefillAheadMs: getPrefillAheadMs(state),
    firstTokenBoundMs: rules.firstTokenBoundMs,
  };
  const allowsTier = (tier: Tier): boolean => decisions.hasRoom({ ...room, tier });
  if (!allowsTier(1)) {
    return undefined;
  }
  const waitingShortTierOne = queue.tiers[0].short.teams.size;
  const allowsLongPrefills = decisions.allowsLongPrefill({
    occupancy,
    window,
    waitingShortTierOne,
  });
  return decisions.chooseNext(queue, { allowsTier, allowsLongPrefills });
};

const grantOrHandBack = (
  context: SideContext,
  state: SideState,
  waiting: WaitingReservation,
): SideStep => {
  const raisedMs = context.decisions.raisePrediction(
    predictUnderLoad(context, state, waiting.work),
  );
  const deadlineLeftMs = waiting.deadlineMs - context.nowMs;
  if (context.decisions.predictsInTime({ raisedMs, deadlineLeftMs })) {
    return issueGrant(context, state, waiting);
  }
  const retryAfterMs = getRetryAfterMs(state, waiting.work.tier);
  return handBack(state, waiting, { reason: 'deadlineUnreachable', retryAfterMs });
};

/** Grants the room there is, in order; what could not be done in time is handed back instead. */
export const issueGrants = (context: SideContext, state: SideState): SideStep =>
  repeatStep(state, (next) => {
    const waiting = next.queue.byRequest.size === 0 ? undefined : chooseWithRoom(context, next);
    return waiting && grantOrHandBack(context, next, waiting);
  });
