import { sortByRank } from '../queue/sortByRank.js';
import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { RoutingState } from '../routingState.js';
import type { Candidate } from '../targets/candidate.js';
import { getLatencyModel } from '../targets/getLatencyModel.js';
import { isMemoryScarcest } from './isMemoryScarcest.js';
import { sortByMemoryRank } from './sortByMemoryRank.js';

/**
 * The waiting requests of a service in the order in which they are sent, by value per token held if memory is what they
 * compete for.
 */
export const orderWaiting = (
  state: RoutingState,
  service: string,
  candidates: readonly Candidate[],
  nowMs: number,
): readonly TrackedRequest[] => {
  const waiting = [...(state.waiting.get(service)?.values() ?? [])];
  const latencyModel = getLatencyModel(state, service);
  return isMemoryScarcest(waiting, candidates)
    ? sortByMemoryRank(waiting, state.memoryStatistics.get(service), latencyModel, nowMs)
    : sortByRank(waiting, latencyModel, nowMs).map(({ request }) => request);
};
