import { chooseNearTarget } from '../dataCentres/chooseNearTarget.js';
import type { Locality } from '../dataCentres/locality.js';
import { newTargetChoice } from '../dataCentres/newTargetChoice.js';
import type { TargetChoice } from '../dataCentres/targetChoice.js';
import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { Candidate } from './candidate.js';
import { findCheapest } from './findCheapest.js';
import { hasFreeSlot } from './hasFreeSlot.js';
import { getUsableCandidates } from './getUsableCandidates.js';
import type { LatencyModel } from './latencyModel.js';
import { predictOnTarget } from './predictOnTarget.js';
import { selectUsable } from './selectUsable.js';
import type { TargetPrediction } from './targetPrediction.js';

/** Cost of a target in another data centre, in milliseconds, where the settings name none. */
const REMOTE_PENALTY_MS = 3;

const getTotalCostMs = (
  { candidate: { target }, costMs }: TargetPrediction,
  dataCentre: string,
): number => costMs + (target.listed.dataCentre === dataCentre ? 0 : REMOTE_PENALTY_MS);

/**
 * Chooses a target with a free slot, among those not tried before: by data centre where the settings call for it, else
 * the one with the lowest predicted cost. Targets on cooldown are considered only if all are; targets too slow to finish
 * in time only if all are, so that long requests wait for a fast target.
 */
export const chooseTarget = ({
  request,
  candidates,
  latencyModel,
  medianServiceTimeMs,
  dataCentre,
  locality,
  workAheadMs,
  canWait,
  nowMs,
}: {
  readonly request: TrackedRequest;
  readonly candidates: readonly Candidate[];
  readonly latencyModel: LatencyModel;
  /** Of the service's targets; undefined if none is known. */
  readonly medianServiceTimeMs: number | undefined;
  readonly dataCentre: string;
  readonly locality: Locality | undefined;
  /** Expected duration of the waiting requests that are sent before this one, in milliseconds. */
  readonly workAheadMs: number;
  /** A slot at home is predicted to become free so soon that the objective is still met. */
  readonly canWait: boolean;
  readonly nowMs: number;
}): TargetChoice | undefined => {
  const predictions = getUsableCandidates(candidates, request, nowMs).map((candidate) =>
    predictOnTarget({ request, candidate, medianServiceTimeMs, latencyModel, nowMs }),
  );
  if (locality !== undefined) {
    return chooseNearTarget({
      request,
      predictions,
      locality,
      latencyModel,
      workAheadMs,
      canWait,
      nowMs,
    });
  }
  const usable = selectUsable(request, predictions, nowMs);
  const cheapest = findCheapest(usable.filter(hasFreeSlot), (prediction) =>
    getTotalCostMs(prediction, dataCentre),
  );
  return newTargetChoice(cheapest, dataCentre, 'cheaper');
};
