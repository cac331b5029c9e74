import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { LatencyModel } from '../targets/latencyModel.js';
import { compareRankedRequests } from './compareRankedRequests.js';
import { rankRequest } from './rankRequest.js';
import type { RankedRequest } from './rankedRequest.js';

/**
 * Sorts waiting requests into the order in which they are sent: by team priority; within it, short requests that can
 * meet their objective first, since they hardly delay the rest, then by tier; within a tier, requests that can still
 * meet their objective before late ones, each by the earliest objective.
 */
export const sortByRank = (
  waiting: Iterable<TrackedRequest>,
  latencyModel: LatencyModel,
  nowMs: number,
): readonly RankedRequest[] =>
  [...waiting]
    .map((request) => rankRequest(request, latencyModel, nowMs))
    .sort(compareRankedRequests);
