import type { TrackedRequest } from '../requests/trackedRequest.js';
import { getNominalMs } from '../targets/getNominalMs.js';
import type { ServicePace } from '../targets/servicePace.js';
import { isLate } from './isLate.js';

/** Work below this part of the service's mean run is short. */
const SHORT_RUN = 0.3;

interface Ranked {
  readonly request: TrackedRequest;
  /** Rows go out in the order of their lanes. */
  readonly lane: number;
  readonly isLate: boolean;
}

const isShort = (request: TrackedRequest, pace: ServicePace): boolean =>
  getNominalMs(request, pace) < SHORT_RUN * pace.runMs;

const compare = (left: Ranked, right: Ranked): number =>
  left.lane - right.lane ||
  Number(left.isLate) - Number(right.isLate) ||
  left.request.objectiveAtMs - right.request.objectiveAtMs;

/**
 * The order in which waiting work is started: short work that can be on time first, since it takes next to nothing
 * from the rest, then by tier; within a tier what can still be on time, the nearest objective first, then what is late.
 */
export const sortWaiting = (
  waiting: Iterable<TrackedRequest>,
  pace: ServicePace,
  nowMs: number,
): readonly TrackedRequest[] =>
  [...waiting]
    .map((request): Ranked => {
      const late = isLate(request, pace, nowMs);
      const lane = !late && isShort(request, pace) ? -1 : request.tier;
      return { request, lane, isLate: late };
    })
    .sort(compare)
    .map(({ request }) => request);
