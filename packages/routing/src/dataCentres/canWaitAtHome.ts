import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { LatencyModel } from '../targets/latencyModel.js';
import { predictOnTarget } from '../targets/predictOnTarget.js';
import type { Locality } from './locality.js';
import { meetsObjective } from './meetsObjective.js';
import { predictHomeWaitMs } from './predictHomeWaitMs.js';

/** Waits tend to be longer than predicted, since other entries wait for the same slots. */
const WAIT_SAFETY_FACTOR = 2;
/** The share of the objective that a request may wait for a slot at home while another data centre has one. */
const MAX_WAIT_SHARE = 0.25;
/** The longest time until a waiting request is considered again; it can then still leave in time. */
const RECHECK_MS = 50;

/**
 * Whether a slot at home is predicted to become free so soon that the objective is still met. Looks at one target only,
 * since this is asked for each waiting request.
 */
export const canWaitAtHome = ({
  request,
  locality: { homeSlots, isHomeSlow, policy },
  latencyModel,
  medianServiceTimeMs,
  workAheadMs,
  nowMs,
}: {
  readonly request: TrackedRequest;
  readonly locality: Locality;
  readonly latencyModel: LatencyModel;
  /** Of the service's targets; undefined if none is known. */
  readonly medianServiceTimeMs: number | undefined;
  /** Expected duration of the waiting requests that are sent before this one, in milliseconds. */
  readonly workAheadMs: number;
  readonly nowMs: number;
}): boolean => {
  const { fastest: candidate, held } = homeSlots;
  if (request.triedTargetIds.length > 0 || isHomeSlow || candidate === undefined) {
    return false;
  }
  const waitMs = WAIT_SAFETY_FACTOR * predictHomeWaitMs(held, latencyModel, workAheadMs);
  if (waitMs > MAX_WAIT_SHARE * request.route.objectiveMs) {
    return false;
  }
  const prediction = predictOnTarget({
    request,
    candidate,
    medianServiceTimeMs,
    latencyModel,
    nowMs,
  });
  const latestStartMs = Math.max(waitMs, RECHECK_MS + policy.delayMs);
  return meetsObjective(request, prediction, latestStartMs, nowMs);
};
