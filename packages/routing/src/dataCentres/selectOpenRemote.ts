import { hasFreeSlot } from '../targets/hasFreeSlot.js';
import type { TargetPrediction } from '../targets/targetPrediction.js';
import { isAtHome } from './isAtHome.js';
import type { NearChoice } from './nearChoice.js';

/**
 * The targets in other data centres that the request may be sent to now. Another attempt, whose last target refused it or
 * failed, is not bound by the room that they leave to others.
 */
export const selectOpenRemote = (
  { request, locality }: NearChoice,
  usable: readonly TargetPrediction[],
): readonly TargetPrediction[] => {
  const isRetry = request.triedTargetIds.length > 0;
  return usable.filter(
    (prediction) =>
      !isAtHome(prediction, locality) &&
      hasFreeSlot(prediction) &&
      (isRetry || locality.openSlots.has(prediction.candidate.target.listed.dataCentre)),
  );
};
