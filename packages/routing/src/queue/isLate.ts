import type { TrackedRequest } from '../requests/trackedRequest.js';
import { predictFirstEventMs } from '../targets/predictFirstEventMs.js';
import type { LatencyModel } from '../targets/latencyModel.js';

/** The share of an objective that is reserved for targets that take longer than predicted. */
const OBJECTIVE_MARGIN_SHARE = 0.25;

/** Whether a request is predicted to miss its objective even if it is sent now. */
export const isLate = (
  request: TrackedRequest,
  latencyModel: LatencyModel,
  nowMs: number,
): boolean =>
  nowMs +
    predictFirstEventMs(request, latencyModel) +
    OBJECTIVE_MARGIN_SHARE * request.route.objectiveMs >
  request.objectiveAtMs;
