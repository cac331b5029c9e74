import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { RoutingState } from '../routingState.js';
import { getCandidates } from '../targets/getCandidates.js';
import { getLatencyModel } from '../targets/getLatencyModel.js';
import { getUsableCandidates } from '../targets/getUsableCandidates.js';
import { predictFirstEventMs } from '../targets/predictFirstEventMs.js';
import { fitsInto } from './fitsInto.js';
import { getMemoryTokens } from './getMemoryTokens.js';
import { getRoom } from './getRoom.js';
import type { Room } from './room.js';
import { getReleasedTokensPerMs } from './getReleasedTokensPerMs.js';
import { sortByMemoryRank } from './sortByMemoryRank.js';

/**
 * Waiting requests of a service that fit into no target's memory, and are predicted to get room too late for their callers
 * behind the requests that are sent before them; with the predicted wait.
 */
export const findWithoutRoom = (
  state: RoutingState,
  service: string,
  nowMs: number,
): readonly { readonly request: TrackedRequest; readonly waitMs: number }[] => {
  const queue = state.waiting.get(service);
  if (queue === undefined || queue.isEmpty() || getMemoryTokens(state, service) === undefined) {
    return [];
  }
  const candidates = getCandidates(state, service, nowMs);
  const roomOfUntried = getRoom(getUsableCandidates(candidates, { triedTargetIds: [] }, nowMs));
  if (getRoom(candidates).freeTokens === -Infinity) {
    return [];
  }
  const getRoomFor = (request: TrackedRequest): Room =>
    request.triedTargetIds.length === 0
      ? roomOfUntried
      : getRoom(getUsableCandidates(candidates, request, nowMs));
  const statistics = state.memoryStatistics.get(service);
  const latencyModel = getLatencyModel(state, service);
  const releasedPerMs = getReleasedTokensPerMs(state, service, candidates, nowMs);
  let tokensAhead = 0;
  return sortByMemoryRank(queue.values(), statistics, latencyModel, nowMs).flatMap((request) => {
    const waitMs = (tokensAhead + request.heldTokens) / releasedPerMs;
    const firstEventAtMs = nowMs + waitMs + predictFirstEventMs(request, latencyModel);
    const isTooLate =
      !fitsInto(request, getRoomFor(request)) &&
      !request.hasResponseStarted &&
      firstEventAtMs > request.responseStartDeadlineAtMs;
    if (isTooLate) {
      return [{ request, waitMs }];
    }
    tokensAhead += request.heldTokens;
    return [];
  });
};
