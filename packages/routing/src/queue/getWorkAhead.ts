import type { RoutingState } from '../routingState.js';
import { predictDurationMs } from '../targets/predictDurationMs.js';
import { getLatencyModel } from '../targets/getLatencyModel.js';
import { compareRankedRequests } from './compareRankedRequests.js';
import type { RankedRequest } from './rankedRequest.js';
import { rankRequest } from './rankRequest.js';

/**
 * The waiting requests of the same service that are sent before a request: their number and total expected duration.
 */
export const getWorkAhead = (
  state: RoutingState,
  rankedRequest: RankedRequest,
  nowMs: number,
): { readonly count: number; readonly workMs: number } => {
  const { service, requestId } = rankedRequest.request;
  const latencyModel = getLatencyModel(state, service);
  const ahead = [...(state.waiting.get(service)?.values() ?? [])].filter(
    (other) =>
      other.requestId !== requestId &&
      compareRankedRequests(rankRequest(other, latencyModel, nowMs), rankedRequest) <= 0,
  );
  return {
    count: ahead.length,
    workMs: ahead.reduce((sum, other) => sum + predictDurationMs(other, latencyModel), 0),
  };
};
