import { toOptionalField } from '@parsleyhall/common';
import type { RoutingState } from '../routingState.js';
import { createStepResult } from '../steps/createStepResult.js';
import type { StepResult } from '../steps/stepResult.js';
import { getTargetStart } from '../targets/getTargetStart.js';
import { newSendAllowance } from './newSendAllowance.js';
import type { TargetLimit } from './targetLimit.js';

/** Replaces what a target stated about its limit and logs a change. */
export const updateTargetLimit = (
  state: RoutingState,
  targetId: string,
  stated: Omit<TargetLimit, 'allowance'>,
  source: 'target' | 'peer',
): StepResult => {
  const targetStart = getTargetStart(state, targetId);
  const known = state.targetLimits.get(targetStart);
  const wasLimited = known?.perSecond !== undefined;
  const limit = { ...stated, allowance: wasLimited ? known.allowance : newSendAllowance() };
  const next = { ...state, targetLimits: state.targetLimits.set(targetStart, limit) };
  if (known?.perSecond === stated.perSecond) {
    return createStepResult(next);
  }
  const fields = {
    target: targetId,
    source,
    ...toOptionalField('limitPerSecond', stated.perSecond),
  };
  return createStepResult(next, { type: 'observe', name: 'targetLimitChanged', fields });
};
