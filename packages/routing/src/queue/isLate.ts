import type { TrackedRequest } from '../requests/trackedRequest.js';
import { getPrefillMs } from '../targets/getPrefillMs.js';
import type { ServicePace } from '../targets/servicePace.js';

/** The part of an objective that is left for what a target takes longer than predicted. */
const OBJECTIVE_MARGIN = 0.25;

/** Whether a request that is started now is predicted to be late. */
export const isLate = (request: TrackedRequest, pace: ServicePace, nowMs: number): boolean =>
  nowMs + getPrefillMs(request, pace) + OBJECTIVE_MARGIN * request.route.objectiveMs >
  request.objectiveAtMs;
