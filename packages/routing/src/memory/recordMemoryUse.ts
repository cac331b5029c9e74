import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { RoutingState } from '../routingState.js';
import { getMemoryTokens } from './getMemoryTokens.js';
import { updateMemoryStatistics } from './updateMemoryStatistics.js';

/** Adds an admitted request whose size is known to the memory statistics of its service, if its memory is limited. */
export const recordMemoryUse = (
  state: RoutingState,
  request: TrackedRequest,
  nowMs: number,
): RoutingState => {
  const { service } = request;
  const memoryTokens = getMemoryTokens(state, service);
  if (memoryTokens === undefined || request.isSizeUnknown === true) {
    return state;
  }
  const routeNames = new Set(state.index?.configuration.routes.map(({ name }) => name));
  const known = state.memoryStatistics.get(service);
  const context = { routeNames, memoryTokens, nowMs };
  const statistics = updateMemoryStatistics(known, request, context);
  return { ...state, memoryStatistics: state.memoryStatistics.set(service, statistics) };
};
