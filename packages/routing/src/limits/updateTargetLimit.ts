import { toOptionalField } from '@parsleyhall/common';
import type { RoutingState } from '../routingState.js';
import { createStepResult } from '../steps/createStepResult.js';
import type { StepResult } from '../steps/stepResult.js';
import { getTargetStart } from '../targets/getTargetStart.js';
import type { TargetLimit } from './targetLimit.js';

/** Replaces what is known about a target's limit and logs a change. */
export const updateTargetLimit = (
  state: RoutingState,
  targetId: string,
  stated: TargetLimit,
  source: 'target' | 'peer',
): StepResult => {
  const targetStart = getTargetStart(state, targetId);
  const known = state.targetLimits.get(targetStart);
  const next = { ...state, targetLimits: state.targetLimits.set(targetStart, stated) };
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
