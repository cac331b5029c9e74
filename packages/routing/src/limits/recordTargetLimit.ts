import type { RoutingState } from '../routingState.js';
import type { ResponseHead } from '../responseHead.js';
import { createStepResult } from '../steps/createStepResult.js';
import type { StepResult } from '../steps/stepResult.js';
import { getTargetStart } from '../targets/getTargetStart.js';
import { updateTargetLimit } from './updateTargetLimit.js';

/**
 * Records the limit that a target names in the head of a response. A limit holds for as long as each response names it;
 * one that does not name the request, or has no signature, does not end it.
 */
export const recordTargetLimit = (
  state: RoutingState,
  targetId: string,
  { limitPerSecond, requestMatch, isSigned }: ResponseHead,
  nowMs: number,
): StepResult => {
  const known = state.targetLimits.get(getTargetStart(state, targetId));
  const isLimited = known?.perSecond !== undefined;
  const isResponse = isSigned && requestMatch === 'own';
  const endsLimit = limitPerSecond === undefined && isLimited && isResponse;
  if (limitPerSecond === undefined && !endsLimit) {
    return createStepResult(state);
  }
  const stated = { perSecond: limitPerSecond, statedAtMs: nowMs, isLocal: true };
  return updateTargetLimit(state, targetId, stated, 'target');
};
