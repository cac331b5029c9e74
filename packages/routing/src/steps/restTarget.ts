import type { RoutingState } from '../routingState.js';
import { noteFailure } from '../targets/noteFailure.js';
import { updateTarget } from '../targets/updateTarget.js';
import { keep } from './keep.js';
import type { Outcome } from './outcome.js';

const PERCENT = 100;

/** Records a failed send of a target and tells when its rest begins. */
export const restTarget = (state: RoutingState, targetId: string, nowMs: number): Outcome => {
  const before = state.targets.get(targetId);
  const rested = updateTarget(state, targetId, (target) => noteFailure(target, nowMs));
  const after = rested.targets.get(targetId);
  if (before === undefined || after === undefined || before.restsUntilMs > nowMs) {
    return keep(rested);
  }
  const fields = {
    target: targetId,
    service: after.listed.service,
    restMs: Math.round(after.restsUntilMs - nowMs),
    failureShare: Math.round(after.failureShare * PERCENT) / PERCENT,
  };
  return keep(rested, { type: 'observe', name: 'targetRests', fields });
};
