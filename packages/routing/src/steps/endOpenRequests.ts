import type { Refusal } from '../requests/refusal.js';
import { refuseRequest } from '../requests/refuseRequest.js';
import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { RoutingState } from '../routingState.js';
import { createStepResult } from './createStepResult.js';
import { runStepForEach } from './runStepForEach.js';
import type { StepContext } from './stepContext.js';
import type { StepResult } from './stepResult.js';

/** Sent as Retry-After; the retry goes to another entry. */
const RETRY_AT_OTHER_ENTRY_MS = 100;

const getRefusal = ({ mayHaveRun }: TrackedRequest): Refusal =>
  mayHaveRun
    ? { status: 502, reason: 'outcomeUnknown' }
    : { status: 503, reason: 'stopping', retryAfterMs: RETRY_AT_OTHER_ENTRY_MS };

/** Gives each open request its final response, or breaks the response off if it has begun. */
export const endOpenRequests = (state: RoutingState, { nowMs }: StepContext): StepResult =>
  runStepForEach(state, state.requests.keys(), (next, requestId) => {
    const request = next.requests.get(requestId);
    return request === undefined
      ? createStepResult(next)
      : refuseRequest(next, request, getRefusal(request), nowMs);
  });
