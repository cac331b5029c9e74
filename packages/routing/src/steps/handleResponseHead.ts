import { toOptionalField } from '@parsleyhall/common';
import type { RequestMatch } from '../requestMatch.js';
import type { ResponseFault } from '../responseFault.js';
import type { ResponseHead } from '../responseHead.js';
import { recordTargetLimit } from '../limits/recordTargetLimit.js';
import { putRequest } from '../requests/putRequest.js';
import type { TrackedRequest } from '../requests/trackedRequest.js';
import { canRunAgain } from '../retries/canRunAgain.js';
import { isReportedFull } from '../targetLoad/isReportedFull.js';
import { recordTargetLoad } from '../targetLoad/recordTargetLoad.js';
import type { RoutingState } from '../routingState.js';
import { chainStep } from './chainStep.js';
import { handleSendFailure } from './handleSendFailure.js';
import { isBelieved } from './isBelieved.js';
import { createStepResult } from './createStepResult.js';
import type { StepResult } from './stepResult.js';
import type { StepContext } from './stepContext.js';
import { recordTargetReport } from './recordTargetReport.js';
import { startCooldown } from './startCooldown.js';
import { retryOrRefuse } from './retryOrRefuse.js';

const FIRST_SERVER_ERROR_STATUS = 500;
const FIRST_ERROR_STATUS = 400;

const MATCH_FAULTS: Readonly<Record<RequestMatch, ResponseFault | undefined>> = {
  own: undefined,
  another: { responseFault: 'namesAnother' },
  none: { responseFault: 'namesNone' },
};

const isRetryableError = (
  state: RoutingState,
  request: TrackedRequest,
  head: ResponseHead,
  context: StepContext,
): boolean => head.status >= FIRST_SERVER_ERROR_STATUS && canRunAgain(state, request, context);

/** A response that does not name the request is not relayed, whatever its connection. */
const isWellFormed = ({ requestMatch, isBodyEncoded, isSigned, status }: ResponseHead): boolean =>
  requestMatch === 'own' && !isBodyEncoded && (isSigned || status >= FIRST_ERROR_STATUS);

const evaluateHead = (
  state: RoutingState,
  request: TrackedRequest,
  head: ResponseHead,
  context: StepContext,
): StepResult => {
  const { requestId, send } = request;
  if (send === undefined) {
    return createStepResult(state);
  }
  const cancel = { type: 'cancelSend', requestId, sendId: send.sendId } as const;
  if (head.isNotRun && isBelieved(head)) {
    // A target that is only full has not failed; its report keeps requests away until it has room.
    const isOnlyFull = head.load !== undefined && isReportedFull(head.load);
    const judged = isOnlyFull
      ? createStepResult(state)
      : startCooldown(state, send.targetId, true, context.nowMs);
    const cancelled = chainStep(judged, (current) => createStepResult(current, cancel));
    return chainStep(cancelled, (current) => retryOrRefuse(current, request, 'notRun', context));
  }
  if (!isWellFormed(head)) {
    return handleSendFailure(state, request, 'malformed', context, MATCH_FAULTS[head.requestMatch]);
  }
  if (request.hasResponseStarted && head.status >= FIRST_ERROR_STATUS) {
    return handleSendFailure(state, request, 'broken', context);
  }
  if (!head.isSigned || isRetryableError(state, request, head, context)) {
    return handleSendFailure(state, request, 'broken', context);
  }
  const answered: TrackedRequest = {
    ...request,
    send: {
      ...send,
      lastByteAtMs: context.nowMs,
      status: head.status,
      ...toOptionalField('mediaType', head.mediaType),
      ...toOptionalField('isFramed', head.isFramed),
    },
  };
  return createStepResult(putRequest(state, answered));
};

const recordStatements = (
  state: RoutingState,
  request: TrackedRequest,
  targetId: string,
  head: ResponseHead,
  nowMs: number,
): StepResult =>
  isBelieved(head)
    ? chainStep(
        chainStep(recordTargetReport(state, targetId, head, nowMs), (current) =>
          recordTargetLimit(current, targetId, head, nowMs),
        ),
        (current) => recordTargetLoad(current, request, targetId, head, nowMs),
      )
    : createStepResult(state);

/** Decides by the head of a response whether it is forwarded or the send counts as failed. */
export const handleResponseHead = (
  state: RoutingState,
  request: TrackedRequest,
  head: ResponseHead,
  context: StepContext,
): StepResult =>
  request.send === undefined
    ? createStepResult(state)
    : chainStep(
        recordStatements(state, request, request.send.targetId, head, context.nowMs),
        (current) => evaluateHead(current, request, head, context),
      );
