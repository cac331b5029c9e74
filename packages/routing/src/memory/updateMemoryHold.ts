import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { RoutingState } from '../routingState.js';
import type { Candidate } from '../targets/candidate.js';
import { getUsableCandidates } from '../targets/getUsableCandidates.js';
import { chooseMemoryHold } from './chooseMemoryHold.js';
import { fitsInto } from './fitsInto.js';
import { getRoom } from './getRoom.js';
import { getMemoryHold } from './getMemoryHold.js';

/** Keeps memory for the first waiting request that could not be sent, if memory is what it lacks and it is due. */
export const updateMemoryHold = (
  state: RoutingState,
  request: TrackedRequest,
  candidates: readonly Candidate[],
  nowMs: number,
): RoutingState => {
  const { service } = request;
  const usable = getUsableCandidates(candidates, request, nowMs);
  if (fitsInto(request, getRoom(usable))) {
    return state;
  }
  const previous = getMemoryHold(state, service, nowMs);
  const hold = chooseMemoryHold(request, usable, previous, nowMs);
  if (hold === undefined || hold === previous) {
    return state;
  }
  return { ...state, memoryHolds: state.memoryHolds.set(service, hold) };
};
