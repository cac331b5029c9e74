import { Map } from 'immutable';
import type { RoutingState } from '../routingState.js';
import type { TrackedRequest } from './trackedRequest.js';

/** Replaces a request; one without a send stands among the waiting of its service. */
export const putRequest = (state: RoutingState, request: TrackedRequest): RoutingState => {
  const queue = state.waiting.get(request.service) ?? Map<number, TrackedRequest>();
  const nextQueue =
    request.send === undefined
      ? queue.set(request.requestId, request)
      : queue.delete(request.requestId);
  return {
    ...state,
    requests: state.requests.set(request.requestId, request),
    waiting: state.waiting.set(request.service, nextQueue),
  };
};
