import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { ServicePace } from '../targets/servicePace.js';
import { compareWaiting } from './compareWaiting.js';
import { rankWaiting } from './rankWaiting.js';
import type { Ranked } from './ranked.js';

/**
 * The order in which waiting work is started: by the team's own priority; within it short work that can be on time
 * first, since it takes next to nothing from the rest, then by tier; within a tier what can still be on time, the
 * nearest objective first, then what is late.
 */
export const sortWaiting = (
  waiting: Iterable<TrackedRequest>,
  pace: ServicePace,
  nowMs: number,
): readonly Ranked[] =>
  [...waiting].map((request) => rankWaiting(request, pace, nowMs)).sort(compareWaiting);
