import { getVersion } from '../configuration/getVersion.js';
import type { Observation } from '../observations/observation.js';
import { refundQuota } from '../quota/refundQuota.js';
import type { RoutingState } from '../routingState.js';
import { createStepResult } from '../steps/createStepResult.js';
import type { StepResult } from '../steps/stepResult.js';
import { releaseSend } from './releaseSend.js';
import { describeRequest } from './describeRequest.js';
import type { Refusal } from './refusal.js';
import { removeRequest } from './removeRequest.js';
import type { TrackedRequest } from './trackedRequest.js';

type RefusedFields = Extract<Observation, { name: 'requestRefused' }>['fields'];

/** Ends a request with an error response, or closes the caller's connection if the response has already started. */
export const refuseRequest = (
  state: RoutingState,
  request: TrackedRequest,
  refusal: Refusal,
  nowMs: number,
  extraFields: Partial<RefusedFields> = {},
): StepResult => {
  const { requestId, send, hasResponseStarted } = request;
  const refunded = request.mayHaveRun ? state : refundQuota(state, request);
  return createStepResult(
    removeRequest(releaseSend(refunded, request), request),
    ...(send === undefined
      ? []
      : [{ type: 'cancelSend', requestId, sendId: send.sendId } as const]),
    hasResponseStarted
      ? ({ type: 'breakOff', requestId } as const)
      : ({ type: 'answer', requestId, refusal } as const),
    {
      type: 'observe',
      name: hasResponseStarted ? 'requestBrokenOff' : 'requestRefused',
      fields: {
        ...describeRequest(request, nowMs),
        reason: refusal.reason,
        status: refusal.status,
        mayHaveRun: request.mayHaveRun,
        version: getVersion(state),
        ...(refusal.retryAfterMs === undefined ? {} : { retryAfterMs: refusal.retryAfterMs }),
        ...extraFields,
      },
    },
  );
};
