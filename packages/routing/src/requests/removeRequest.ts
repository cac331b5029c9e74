import type { RoutingState } from '../routingState.js';
import type { TrackedRequest } from './trackedRequest.js';

/** Removes a request from the tracked requests and from its service's queue. */
export const removeRequest = (state: RoutingState, request: TrackedRequest): RoutingState => {
  const queue = state.waiting.get(request.service);
  return {
    ...state,
    requests: state.requests.delete(request.requestId),
    waiting:
      queue === undefined
        ? state.waiting
        : state.waiting.set(request.service, queue.delete(request.requestId)),
  };
};
