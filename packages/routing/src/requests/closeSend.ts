import type { RoutingState } from '../routingState.js';
import { updateTarget } from '../targets/updateTarget.js';
import type { TrackedRequest } from './trackedRequest.js';

/** Takes the request's send off its target's account. The request itself stays as it is. */
export const closeSend = (state: RoutingState, request: TrackedRequest): RoutingState => {
  const { send, promptTokens } = request;
  if (send === undefined) {
    return state;
  }
  const pendingTokens = send.beganMs === undefined ? promptTokens : 0;
  return updateTarget(state, send.targetId, (target) => ({
    ...target,
    inFlight: Math.max(0, target.inFlight - 1),
    prefillTokens: Math.max(0, target.prefillTokens - pendingTokens),
  }));
};
