import type { RoutingState } from '../routingState.js';
import { countNetSends } from '../targetLoad/countNetSends.js';
import { updateTarget } from '../targets/updateTarget.js';
import type { TrackedRequest } from './trackedRequest.js';

/** Subtracts the request's current send from the load of its target. The request itself is not changed. */
export const releaseSend = (state: RoutingState, request: TrackedRequest): RoutingState => {
  const { send, promptTokens, heldTokens } = request;
  if (send === undefined) {
    return state;
  }
  const pendingTokens = send.firstByteAtMs === undefined ? promptTokens : 0;
  return updateTarget(state, send.targetId, (target) => ({
    ...target,
    netSends: countNetSends(target, state.digestSequence, -1),
    inFlight: Math.max(0, target.inFlight - 1),
    heldTokens: Math.max(0, target.heldTokens - heldTokens),
    pendingPromptTokens: Math.max(0, target.pendingPromptTokens - pendingTokens),
  }));
};
