import type { TrackedRequest } from '../requests/trackedRequest.js';
import { predictDurationMs } from '../targets/predictDurationMs.js';
import type { LatencyModel } from '../targets/latencyModel.js';
import { isLate } from './isLate.js';
import type { RankedRequest } from './rankedRequest.js';

/** Requests below this share of the service's mean duration are short. */
const SHORT_DURATION_SHARE = 0.3;
/** The priority class of short requests, ahead of all tiers. */
const SHORT_REQUEST_CLASS = -1;
/** Places requests beyond their quota behind the rest of their tier and ahead of the next tier. */
const OVER_QUOTA_OFFSET = 0.5;

const isShort = (request: TrackedRequest, latencyModel: LatencyModel): boolean =>
  predictDurationMs(request, latencyModel) < SHORT_DURATION_SHARE * latencyModel.meanDurationMs;

const getPriorityClass = (
  request: TrackedRequest,
  isRequestLate: boolean,
  latencyModel: LatencyModel,
): number => {
  if (request.isBeyondQuota) {
    return request.tier + OVER_QUOTA_OFFSET;
  }
  return !isRequestLate && isShort(request, latencyModel) ? SHORT_REQUEST_CLASS : request.tier;
};

/** Computes the sort keys of a waiting request. */
export const rankRequest = (
  request: TrackedRequest,
  latencyModel: LatencyModel,
  nowMs: number,
): RankedRequest => {
  const isRequestLate = isLate(request, latencyModel, nowMs);
  const priorityClass = getPriorityClass(request, isRequestLate, latencyModel);
  return {
    request,
    priority: request.teamPriority ?? priorityClass,
    priorityClass,
    isLate: isRequestLate,
  };
};
