import { refundQuota } from '../quota/refundQuota.js';
import { releaseSend } from '../requests/releaseSend.js';
import { describeRequest } from '../requests/describeRequest.js';
import { removeRequest } from '../requests/removeRequest.js';
import type { TrackedRequest } from '../requests/trackedRequest.js';
import { recordOutcome } from '../rollouts/recordOutcome.js';
import type { RoutingState } from '../routingState.js';
import { chainStep } from './chainStep.js';
import { dispatchWaiting } from './dispatchWaiting.js';
import { createStepResult } from './createStepResult.js';
import type { StepResult } from './stepResult.js';
import type { StepContext } from './stepContext.js';

/** Cancels a request whose caller has disconnected. */
export const handleCallerDisconnect = (
  state: RoutingState,
  request: TrackedRequest,
  context: StepContext,
): StepResult => {
  const { requestId, send } = request;
  const counted = recordOutcome(state, request, 'abandoned', context.nowMs);
  const refunded = request.mayHaveRun ? counted : refundQuota(counted, request);
  const cancelled = createStepResult(
    removeRequest(releaseSend(refunded, request), request),
    ...(send === undefined
      ? []
      : [{ type: 'cancelSend', requestId, sendId: send.sendId } as const]),
    {
      type: 'observe',
      name: 'callerGone',
      fields: describeRequest(request, context.nowMs),
    },
  );
  return chainStep(cancelled, (current) => dispatchWaiting(current, request.service, context));
};
