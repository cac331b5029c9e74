import { hasProvenItself } from '../quarantine/hasProvenItself.js';
import { recordAnswer } from '../quarantine/recordAnswer.js';
import { recordSignOfLife } from '../quarantine/recordSignOfLife.js';
import { putRequest } from '../requests/putRequest.js';
import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { RoutingState } from '../routingState.js';
import { updateTarget } from '../targets/updateTarget.js';
import { createStepResult } from './createStepResult.js';
import type { StepResult } from './stepResult.js';
import type { StepContext } from './stepContext.js';

/** Records that a part of a response arrived. With the first part, the target has finished processing the prompt. */
export const handleResponseProgress = (
  state: RoutingState,
  request: TrackedRequest,
  { nowMs }: StepContext,
): StepResult => {
  const { send } = request;
  if (send === undefined) {
    return createStepResult(state);
  }
  const isFirst = send.firstByteAtMs === undefined;
  const alive = recordSignOfLife(state, send.targetId, nowMs);
  const next = putRequest(alive, {
    ...request,
    hasResponseStarted: true,
    send: {
      ...send,
      firstByteAtMs: send.firstByteAtMs ?? nowMs,
      lastByteAtMs: nowMs,
      ...(isFirst
        ? {}
        : { longestGapMs: Math.max(send.longestGapMs ?? 0, nowMs - send.lastByteAtMs) }),
    },
  });
  if (isFirst) {
    return createStepResult(
      updateTarget(next, send.targetId, (target) => ({
        ...target,
        pendingPromptTokens: Math.max(0, target.pendingPromptTokens - request.promptTokens),
      })),
    );
  }
  return hasProvenItself(send)
    ? createStepResult(next)
    : recordAnswer(next, request.sharedPromptParts, nowMs);
};
