import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { RoutingState } from '../routingState.js';
import { countInGroups } from './countInGroups.js';

/** Counts the first send of a request towards the share of its groups that is sent. */
export const recordMemorySend = (
  state: RoutingState,
  request: TrackedRequest,
  nowMs: number,
): RoutingState => {
  const { service, route, sends, isSizeUnknown } = request;
  const statistics = state.memoryStatistics.get(service);
  if (statistics === undefined || sends > 0 || isSizeUnknown === true) {
    return state;
  }
  const meanSize = statistics.meanSizes[route.name];
  const shares = countInGroups(statistics.shares, request, meanSize, 'sent', nowMs);
  return {
    ...state,
    memoryStatistics: state.memoryStatistics.set(service, { ...statistics, shares }),
  };
};
