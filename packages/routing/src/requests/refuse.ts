import { getVersion } from '../configuration/getVersion.js';
import type { Observation } from '../observations/observation.js';
import { returnQuota } from '../quota/returnQuota.js';
import type { RoutingState } from '../routingState.js';
import { keep } from '../steps/keep.js';
import type { Outcome } from '../steps/outcome.js';
import { closeSend } from './closeSend.js';
import { describeRequest } from './describeRequest.js';
import type { Refusal } from './refusal.js';
import { removeRequest } from './removeRequest.js';
import type { TrackedRequest } from './trackedRequest.js';

type Fields = Extract<Observation, { name: 'requestRefused' }>['fields'];

/** Gives a request its final answer, or cuts the answer that has begun. */
export const refuse = (
  state: RoutingState,
  request: TrackedRequest,
  refusal: Refusal,
  nowMs: number,
  inputs: Partial<Fields> = {},
): Outcome => {
  const { requestId, send, hasBegun } = request;
  const settled = request.mayHaveRun ? state : returnQuota(state, request);
  return keep(
    removeRequest(closeSend(settled, request), request),
    ...(send === undefined
      ? []
      : [{ type: 'cancelSend', requestId, sendId: send.sendId } as const]),
    hasBegun
      ? ({ type: 'breakOff', requestId } as const)
      : ({ type: 'answer', requestId, refusal } as const),
    {
      type: 'observe',
      name: hasBegun ? 'requestBrokenOff' : 'requestRefused',
      fields: {
        ...describeRequest(request, nowMs),
        reason: refusal.reason,
        status: refusal.status,
        mayHaveRun: request.mayHaveRun,
        version: getVersion(state),
        ...(refusal.retryAfterMs === undefined ? {} : { retryAfterMs: refusal.retryAfterMs }),
        ...inputs,
      },
    },
  );
};
