import type { TrackedRequest } from '../requests/trackedRequest.js';
import { getNominalMs } from '../targets/getNominalMs.js';
import type { ServicePace } from '../targets/servicePace.js';
import { isLate } from './isLate.js';

/** Work below this part of the service's mean run is short. */
const SHORT_RUN = 0.3;
const SHORT_LANE = -1;
/** Behind the rest of the same tier and ahead of the next. */
const BEHIND_TIER = 0.5;

interface Ranked {
  readonly request: TrackedRequest;
  /** The team's own priority; the lane where it has none. */
  readonly rank: number;
  /** Rows of one rank go out in the order of their lanes. */
  readonly lane: number;
  readonly isLate: boolean;
}

const isShort = (request: TrackedRequest, pace: ServicePace): boolean =>
  getNominalMs(request, pace) < SHORT_RUN * pace.runMs;

const getLane = (request: TrackedRequest, late: boolean, pace: ServicePace): number => {
  if (request.isBeyondQuota) {
    return request.tier + BEHIND_TIER;
  }
  return !late && isShort(request, pace) ? SHORT_LANE : request.tier;
};

const compare = (left: Ranked, right: Ranked): number =>
  left.rank - right.rank ||
  left.lane - right.lane ||
  Number(left.isLate) - Number(right.isLate) ||
  left.request.objectiveAtMs - right.request.objectiveAtMs;

/**
 * The order in which waiting work is started: by the team's own priority; within it short work that can be on time first, since
 * it takes next to nothing from the rest, then by tier; within a tier what can still be on time, the nearest objective first, then what is late.
 */
export const sortWaiting = (
  waiting: Iterable<TrackedRequest>,
  pace: ServicePace,
  nowMs: number,
): readonly TrackedRequest[] =>
  [...waiting]
    .map((request): Ranked => {
      const late = isLate(request, pace, nowMs);
      const lane = getLane(request, late, pace);
      return { request, rank: request.teamPriority ?? lane, lane, isLate: late };
    })
    .sort(compare)
    .map(({ request }) => request);
