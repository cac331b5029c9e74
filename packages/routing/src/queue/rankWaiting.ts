import type { TrackedRequest } from '../requests/trackedRequest.js';
import { getNominalMs } from '../targets/getNominalMs.js';
import type { ServicePace } from '../targets/servicePace.js';
import { isLate } from './isLate.js';
import type { Ranked } from './ranked.js';

/** Work below this part of the service's mean run is short. */
const SHORT_RUN = 0.3;
const SHORT_LANE = -1;
/** Behind the rest of the same tier and ahead of the next. */
const BEHIND_TIER = 0.5;

const isShort = (request: TrackedRequest, pace: ServicePace): boolean =>
  getNominalMs(request, pace) < SHORT_RUN * pace.runMs;

const getLane = (request: TrackedRequest, late: boolean, pace: ServicePace): number => {
  if (request.isBeyondQuota) {
    return request.tier + BEHIND_TIER;
  }
  return !late && isShort(request, pace) ? SHORT_LANE : request.tier;
};

/** A waiting request with what its place in the order follows from. */
export const rankWaiting = (request: TrackedRequest, pace: ServicePace, nowMs: number): Ranked => {
  const late = isLate(request, pace, nowMs);
  const lane = getLane(request, late, pace);
  return { request, rank: request.teamPriority ?? lane, lane, isLate: late };
};
