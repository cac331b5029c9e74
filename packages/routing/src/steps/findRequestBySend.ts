import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { RoutingState } from '../routingState.js';

/** The request whose current send has this id; undefined if that send was cancelled or replaced. */
export const findRequestBySend = (
  state: RoutingState,
  requestId: number,
  sendId: number,
): TrackedRequest | undefined => {
  const request = state.requests.get(requestId);
  return request?.send?.sendId === sendId ? request : undefined;
};
