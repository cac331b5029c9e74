import { Map } from 'immutable';
import type { RoutingState } from '../routingState.js';
import type { TrackedRequest } from './trackedRequest.js';

/** Adds or replaces a request. It is in its service's queue exactly while no send is under way. */
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
