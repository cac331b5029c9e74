import { putRequest } from '../requests/putRequest.js';
import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { RoutingState } from '../routingState.js';
import { getCandidates } from '../targets/getCandidates.js';
import { findWithoutRoom } from './findWithoutRoom.js';
import { fitsInto } from './fitsInto.js';
import { getMemoryTokens } from './getMemoryTokens.js';
import { getRoom } from './getRoom.js';

/**
 * The predicted wait for memory, in milliseconds, of an arriving request that would get it too late for its caller; undefined
 * if it gets it in time, or the memory is not limited.
 */
export const getTooLateWaitMs = (
  state: RoutingState,
  request: TrackedRequest,
  nowMs: number,
): number | undefined => {
  const { requestId, service } = request;
  if (getMemoryTokens(state, service) === undefined) {
    return undefined;
  }
  if (fitsInto(request, getRoom(getCandidates(state, service, nowMs)))) {
    return undefined;
  }
  const queued = putRequest(state, request);
  return findWithoutRoom(queued, service, nowMs).find(
    (found) => found.request.requestId === requestId,
  )?.waitMs;
};
