import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { Candidate } from './candidate.js';
import { getNominalMs } from './getNominalMs.js';
import { getPrefillMs } from './getPrefillMs.js';
import type { Prediction } from './prediction.js';
import type { ServicePace } from './servicePace.js';

/** Added for a target in another data centre, in milliseconds. */
const DISTANCE_MS = 3;
/** How many times its duration a send that fails costs its caller. */
const FAILURE_FACTOR = 4;
/** By how much a full target is slower than an empty one. */
const FULL_SLOWDOWN = 0.5;
/** How many times its duration a late first event costs its caller. */
const LATE_FACTOR = 2;

/** Predicts a request's run at a target from the target's pace against that of the others. */
export const predictRun = ({
  request,
  candidate,
  poolPaceMs,
  pace,
  dataCentre,
  nowMs,
}: {
  readonly request: TrackedRequest;
  readonly candidate: Candidate;
  readonly poolPaceMs: number | undefined;
  readonly pace: ServicePace;
  readonly dataCentre: string;
  readonly nowMs: number;
}): Prediction => {
  const { target, totalInFlight } = candidate;
  const slowness =
    target.paceMs === undefined || poolPaceMs === undefined ? 1 : target.paceMs / poolPaceMs;
  const fullness = 1 + (FULL_SLOWDOWN * totalInFlight) / Math.max(1, target.listed.slots);
  const aheadMs = target.prefillTokens * pace.prefillMsPerToken;
  const firstMs = (getPrefillMs(request, pace) + aheadMs) * slowness;
  const runMs = (getNominalMs(request, pace) * fullness + aheadMs) * slowness;
  const lateFactor = nowMs + firstMs > request.objectiveAtMs ? LATE_FACTOR : 1;
  const distanceMs = target.listed.dataCentre === dataCentre ? 0 : DISTANCE_MS;
  const costMs = runMs * lateFactor * (1 + FAILURE_FACTOR * target.failureShare) + distanceMs;
  return { candidate, firstMs, runMs, costMs };
};
