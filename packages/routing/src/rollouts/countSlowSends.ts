import { putRequest } from '../requests/putRequest.js';
import type { RoutingState } from '../routingState.js';
import { getRunningRollout } from './getRunningRollout.js';
import { recordOutcome } from './recordOutcome.js';

const hasRunningRollout = (state: RoutingState): boolean =>
  state.rollouts.byService
    .keySeq()
    .some((service) => getRunningRollout(state, service) !== undefined);

/** Counts responses that are already slow before they end, so that a slow version is recognized in time. */
export const countSlowSends = (state: RoutingState, nowMs: number): RoutingState => {
  if (!hasRunningRollout(state)) {
    return state;
  }
  let current = state;
  for (const request of state.requests.values()) {
    const { send } = request;
    if (send !== undefined) {
      const counted = recordOutcome(current, request, 'underWay', nowMs);
      current =
        counted === current
          ? current
          : putRequest(counted, { ...request, send: { ...send, isOutcomeCounted: true } });
    }
  }
  return current;
};
