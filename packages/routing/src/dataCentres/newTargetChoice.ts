import type { TargetPrediction } from '../targets/targetPrediction.js';
import type { Placement } from './placement.js';
import type { TargetChoice } from './targetChoice.js';

/** Creates the choice of a target, with the reason why it is in another data centre if it is; undefined if none is. */
export const newTargetChoice = (
  prediction: TargetPrediction | undefined,
  dataCentre: string,
  remotePlacement: Placement,
): TargetChoice | undefined => {
  if (prediction === undefined) {
    return undefined;
  }
  const { candidate, firstEventMs, durationMs } = prediction;
  const isAtHome = candidate.target.listed.dataCentre === dataCentre;
  return {
    candidate,
    firstEventMs,
    durationMs,
    placement: isAtHome ? 'home' : remotePlacement,
  };
};
