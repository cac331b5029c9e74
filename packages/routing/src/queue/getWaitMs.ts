import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { RoutingState } from '../routingState.js';
import { getPace } from '../targets/getPace.js';
import { getAhead } from './getAhead.js';
import { predictWaitMs } from './predictWaitMs.js';
import { rankWaiting } from './rankWaiting.js';

/** How long until a request that waits, or would wait, is started, in milliseconds. */
export const getWaitMs = (state: RoutingState, request: TrackedRequest, nowMs: number): number => {
  const { service } = request;
  const own = rankWaiting(request, getPace(state, service), nowMs);
  return predictWaitMs(state, service, nowMs)(own, getAhead(state, own, nowMs));
};
