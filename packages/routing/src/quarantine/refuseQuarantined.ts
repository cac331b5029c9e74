import { refuseRequest } from '../requests/refuseRequest.js';
import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { RoutingState } from '../routingState.js';
import { createStepResult } from '../steps/createStepResult.js';
import { runStepForEach } from '../steps/runStepForEach.js';
import type { StepResult } from '../steps/stepResult.js';
import { findQuarantine } from './findQuarantine.js';
import { getQuarantineKey } from './getQuarantineKey.js';
import { getQuarantineRefusal } from './getQuarantineRefusal.js';

const isBeingAnswered = ({ send }: TrackedRequest): boolean => send?.firstByteAtMs !== undefined;

/** Refuses the open requests under quarantine, and cancels their sends before they crash a target. */
export const refuseQuarantined = (state: RoutingState, nowMs: number): StepResult =>
  runStepForEach(state, state.requests.values(), (current, request) => {
    const quarantine = findQuarantine(current, request.sharedPromptParts);
    if (quarantine === undefined || isBeingAnswered(request)) {
      return createStepResult(current);
    }
    const refusal = getQuarantineRefusal(quarantine, request.mayHaveRun, nowMs);
    return refuseRequest(current, request, refusal, nowMs, {
      promptParts: getQuarantineKey(quarantine.parts),
    });
  });
