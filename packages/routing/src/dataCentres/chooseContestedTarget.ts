import type { TargetPrediction } from '../targets/targetPrediction.js';
import { chooseSpreadTarget } from './chooseSpreadTarget.js';
import { getCrossingCostMs } from './getCrossingCostMs.js';
import type { NearChoice } from './nearChoice.js';
import { newTargetChoice } from './newTargetChoice.js';
import type { TargetChoice } from './targetChoice.js';

/** A rejected attempt is made again, so a contested slot at home is expected to cost up to this multiple of its cost. */
const REJECTION_COST_FACTOR = 2;

/**
 * Chooses a target for a request whose free slots at home other entries are likely to take at the same time: one in a
 * data centre with ample room if crossing costs less than a rejection, or else one at home. The cost of crossing is
 * ignored for another attempt, since the request may get no further one.
 */
export const chooseContestedTarget = (
  { request, locality: { dataCentre, ampleDataCentres, policy } }: NearChoice,
  freeAtHome: readonly TargetPrediction[],
  goodRemote: readonly TargetPrediction[],
  key: string,
): TargetChoice | undefined => {
  const isRetry = request.triedTargetIds.length > 0;
  const crossingCostMs = getCrossingCostMs(request, policy);
  const homeCostMs = Math.min(...freeAtHome.map(({ costMs }) => costMs));
  const ample = goodRemote.filter(
    ({ candidate: { target }, costMs }) =>
      ampleDataCentres.has(target.listed.dataCentre) &&
      (isRetry || costMs + crossingCostMs <= REJECTION_COST_FACTOR * homeCostMs),
  );
  const chosen = chooseSpreadTarget(ample.length === 0 ? freeAtHome : ample, key);
  return newTargetChoice(chosen, dataCentre, 'contested');
};
