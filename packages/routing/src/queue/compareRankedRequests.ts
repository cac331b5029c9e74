import type { RankedRequest } from './rankedRequest.js';

/** Sort order of waiting requests: negative if the left one is sent first. */
export const compareRankedRequests = (left: RankedRequest, right: RankedRequest): number =>
  left.priority - right.priority ||
  left.priorityClass - right.priorityClass ||
  Number(left.isLate) - Number(right.isLate) ||
  left.request.objectiveAtMs - right.request.objectiveAtMs;
