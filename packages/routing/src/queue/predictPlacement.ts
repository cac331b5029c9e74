import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { RoutingState } from '../routingState.js';
import { getPace } from '../targets/getPace.js';
import { getPrefillMs } from '../targets/getPrefillMs.js';
import { createWaitPredictor } from './createWaitPredictor.js';
import { getAhead } from './getAhead.js';
import type { Placement } from './placement.js';
import { rankWaiting } from './rankWaiting.js';

/** Predicts what a request that waits, or would wait, has before it. */
export const predictPlacement = (
  state: RoutingState,
  request: TrackedRequest,
  nowMs: number,
): Placement => {
  const { service } = request;
  const pace = getPace(state, service);
  const own = rankWaiting(request, pace, nowMs);
  const ahead = getAhead(state, own, nowMs);
  return {
    own,
    ahead: ahead.count,
    ...createWaitPredictor(state, service, nowMs)(own, ahead),
    prefillMs: getPrefillMs(request, pace),
  };
};
