import { isStream } from '../requests/isStream.js';
import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { ResponseHead } from '../responseHead.js';
import type { RoutingState } from '../routingState.js';
import { createStepResult } from '../steps/createStepResult.js';
import type { StepResult } from '../steps/stepResult.js';
import { updateTarget } from '../targets/updateTarget.js';
import { dropLoad } from './dropLoad.js';
import { newLoadReport } from './newLoadReport.js';

const reportIgnored = (state: RoutingState, targetId: string): StepResult => {
  const target = state.targets.get(targetId);
  if (target === undefined || target.isLoadMalformed === true) {
    return createStepResult(state);
  }
  const marked = updateTarget(state, targetId, (known) => ({ ...known, isLoadMalformed: true }));
  const fields = { target: targetId, service: target.listed.service };
  return createStepResult(marked, { type: 'observe', name: 'loadReportIgnored', fields });
};

/** Stores the load that a target states in the head of a response; logs the first of its malformed reports. */
export const recordTargetLoad = (
  state: RoutingState,
  request: TrackedRequest,
  targetId: string,
  { load: reported, isLoadIncomplete, isLoadMalformed, isNotRun }: ResponseHead,
  nowMs: number,
): StepResult => {
  if (isLoadIncomplete === true) {
    return createStepResult(dropLoad(state, targetId));
  }
  if (reported === undefined) {
    return isLoadMalformed === true ? reportIgnored(state, targetId) : createStepResult(state);
  }
  const peerInFlight = state.peerInFlight.get(targetId) ?? 0;
  const isAtEnd = !isStream(request.route);
  return createStepResult(
    updateTarget(state, targetId, (target) => ({
      ...target,
      isLoadMalformed: false,
      load: newLoadReport({
        reported,
        target,
        peerInFlight,
        isAtEnd,
        isRejected: isNotRun,
        nowMs,
      }),
    })),
  );
};
