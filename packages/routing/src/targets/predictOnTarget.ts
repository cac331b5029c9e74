import type { TrackedRequest } from '../requests/trackedRequest.js';
import { getMeanWorkTimeFactor } from '../targetLoad/getMeanWorkTimeFactor.js';
import { getSpreadFactor } from '../targetLoad/getSpreadFactor.js';
import type { Candidate } from './candidate.js';
import { predictDurationMs } from './predictDurationMs.js';
import { predictFirstEventMs } from './predictFirstEventMs.js';
import type { TargetPrediction } from './targetPrediction.js';
import type { LatencyModel } from './latencyModel.js';

/** Cost of a failed send, as a multiple of its duration. */
const FAILURE_COST_FACTOR = 4;
/** The relative slowdown of a fully loaded target against an idle one. */
const FULL_LOAD_SLOWDOWN = 0.5;
/** Cost of a send whose first event misses the objective, as a multiple of its duration. */
const LATE_COST_FACTOR = 2;

/**
 * Predicts latency and cost of a request at a target from the target's service time relative to that of the others, and
 * from the momentary speed that it reports.
 */
export const predictOnTarget = ({
  request,
  candidate,
  medianServiceTimeMs,
  latencyModel,
  nowMs,
}: {
  readonly request: TrackedRequest;
  readonly candidate: Candidate;
  readonly medianServiceTimeMs: number | undefined;
  readonly latencyModel: LatencyModel;
  readonly nowMs: number;
}): TargetPrediction => {
  const { target, totalInFlight, slots, pendingPromptTokens } = candidate;
  const referenceMs = latencyModel.referenceServiceTimeMs ?? medianServiceTimeMs;
  const slownessFactor =
    target.serviceTimeMs === undefined || referenceMs === undefined
      ? 1
      : target.serviceTimeMs / referenceMs;
  const loadFactor = 1 + (FULL_LOAD_SLOWDOWN * totalInFlight) / Math.max(1, slots);
  const prefillAheadMs = pendingPromptTokens * latencyModel.prefillMsPerToken;
  const usualFirstEventMs =
    (predictFirstEventMs(request, latencyModel) + prefillAheadMs) * slownessFactor;
  const usualDurationMs =
    (predictDurationMs(request, latencyModel) * loadFactor + prefillAheadMs) * slownessFactor;
  const firstEventMs =
    usualFirstEventMs * getMeanWorkTimeFactor(target.load, nowMs, usualFirstEventMs);
  const durationMs = usualDurationMs * getMeanWorkTimeFactor(target.load, nowMs, usualDurationMs);
  const isOnTime = nowMs + firstEventMs <= request.objectiveAtMs;
  const lateFactor = isOnTime ? 1 : LATE_COST_FACTOR;
  const failureFactor = 1 + FAILURE_COST_FACTOR * target.failureShare;
  const costMs = durationMs * lateFactor * failureFactor * getSpreadFactor(request, candidate);
  return { candidate, firstEventMs, durationMs, isOnTime, costMs };
};
