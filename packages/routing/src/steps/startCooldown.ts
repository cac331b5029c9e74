import type { RoutingState } from '../routingState.js';
import { recordFailure } from '../targets/recordFailure.js';
import { updateTarget } from '../targets/updateTarget.js';
import { createStepResult } from './createStepResult.js';
import type { StepResult } from './stepResult.js';

/** Rounds the logged share to hundredths. */
const PERCENT = 100;

/** Records a failed or rejected send, which puts its target on cooldown, and logs the start of the cooldown. */
export const startCooldown = (
  state: RoutingState,
  targetId: string,
  isRejection: boolean,
  nowMs: number,
): StepResult => {
  const before = state.targets.get(targetId);
  const updated = updateTarget(state, targetId, (target) =>
    recordFailure(target, isRejection, nowMs),
  );
  const after = updated.targets.get(targetId);
  if (before === undefined || after === undefined || before.cooldownUntilMs > nowMs) {
    return createStepResult(updated);
  }
  const fields = {
    target: targetId,
    service: after.listed.service,
    restMs: Math.round(after.cooldownUntilMs - nowMs),
    failureShare: Math.round(after.failureShare * PERCENT) / PERCENT,
  };
  return createStepResult(updated, { type: 'observe', name: 'targetRests', fields });
};
