import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { RoutingState } from '../routingState.js';

/** The request whose present send this is; undefined for one that was given up. */
export const findSend = (
  state: RoutingState,
  requestId: number,
  sendId: number,
): TrackedRequest | undefined => {
  const request = state.requests.get(requestId);
  return request?.send?.sendId === sendId ? request : undefined;
};
