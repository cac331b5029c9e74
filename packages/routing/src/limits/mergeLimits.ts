import type { RoutingState } from '../routingState.js';
import { createStepResult } from '../steps/createStepResult.js';
import { runStepForEach } from '../steps/runStepForEach.js';
import type { StepResult } from '../steps/stepResult.js';
import { getTargetStart } from '../targets/getTargetStart.js';
import type { SharedLimit } from './sharedLimit.js';
import { updateTargetLimit } from './updateTargetLimit.js';

/** Takes over what targets stated to another entry later than to this one. */
export const mergeLimits = (
  state: RoutingState,
  limits: readonly SharedLimit[],
  nowMs: number,
): StepResult =>
  runStepForEach(state, limits, (current, { target, targetStart, perSecond, ageMs }) => {
    const statedAtMs = nowMs - ageMs;
    const known = current.targetLimits.get(targetStart);
    const isNewer = known === undefined || known.statedAtMs < statedAtMs;
    // A target that this entry does not list in this start gets nothing from it either.
    if (!isNewer || getTargetStart(current, target) !== targetStart) {
      return createStepResult(current);
    }
    return updateTargetLimit(current, target, { perSecond, statedAtMs, isLocal: false }, 'peer');
  });
