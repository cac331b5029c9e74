import { toOptionalField } from '@parsleyhall/common';
import type { ResponseFault } from '../responseFault.js';
import { describePromptParts } from '../requests/describePromptParts.js';
import type { TrackedRequest } from '../requests/trackedRequest.js';
import { recordOutcome } from '../rollouts/recordOutcome.js';
import type { RoutingState } from '../routingState.js';
import type { SendFailure } from '../sendFailure.js';
import { chainStep } from './chainStep.js';
import { createStepResult } from './createStepResult.js';
import type { StepResult } from './stepResult.js';
import type { StepContext } from './stepContext.js';
import { startCooldown } from './startCooldown.js';
import { retryOrRefuse } from './retryOrRefuse.js';

/** Cancels a send that failed to bring a complete response, then retries or refuses the request. */
export const handleSendFailure = (
  state: RoutingState,
  request: TrackedRequest,
  failure: SendFailure,
  context: StepContext,
  fault?: ResponseFault,
): StepResult => {
  const { send, requestId } = request;
  if (send === undefined) {
    return createStepResult(state);
  }
  const fields = {
    requestId,
    ...(request.attemptId === undefined ? {} : { attemptId: request.attemptId }),
    sendId: send.sendId,
    target: send.targetId,
    failure,
    afterMs: Math.round(context.nowMs - send.sentAtMs),
    hasBegun: send.firstByteAtMs !== undefined,
    ...toOptionalField('mediaType', send.mediaType),
    ...fault,
    ...describePromptParts(request),
  };
  const counted = recordOutcome(state, request, 'failed', context.nowMs);
  const cancelled = chainStep(
    startCooldown(counted, send.targetId, false, context.nowMs),
    (current) =>
      createStepResult(
        current,
        { type: 'cancelSend', requestId, sendId: send.sendId },
        { type: 'observe', name: 'sendFailed', fields },
      ),
  );
  const result = failure === 'neverSent' ? 'neverSent' : 'unknown';
  return chainStep(cancelled, (current) => retryOrRefuse(current, request, result, context));
};
