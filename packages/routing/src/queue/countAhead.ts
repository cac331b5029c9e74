import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { ServicePace } from '../targets/servicePace.js';
import { compareWaiting } from './compareWaiting.js';
import { rankWaiting } from './rankWaiting.js';

/** How many of the waiting requests are started before this one. */
export const countAhead = (
  waiting: Iterable<TrackedRequest>,
  request: TrackedRequest,
  pace: ServicePace,
  nowMs: number,
): number => {
  const own = rankWaiting(request, pace, nowMs);
  return [...waiting].filter((other) => compareWaiting(rankWaiting(other, pace, nowMs), own) <= 0)
    .length;
};
