import { predictQueueing } from '../queue/predictQueueing.js';
import { getRetryAfterMs } from '../requests/getRetryAfterMs.js';
import { isExpired } from '../requests/isExpired.js';
import { isOverdue } from '../requests/isOverdue.js';
import type { Refusal } from '../requests/refusal.js';
import { refuseRequest } from '../requests/refuseRequest.js';
import type { TrackedRequest } from '../requests/trackedRequest.js';
import { canRunAgain } from '../retries/canRunAgain.js';
import { recordOutcome } from '../rollouts/recordOutcome.js';
import type { RoutingState } from '../routingState.js';
import { getLatencyModel } from '../targets/getLatencyModel.js';
import { predictFirstEventMs } from '../targets/predictFirstEventMs.js';
import { handleSendFailure } from './handleSendFailure.js';
import { isStalled } from './isStalled.js';
import { createStepResult } from './createStepResult.js';
import type { StepResult } from './stepResult.js';
import type { StepContext } from './stepContext.js';

const getRefusal = (
  state: RoutingState,
  request: TrackedRequest,
  reason: 'deadlinePassed' | 'overloaded',
  nowMs: number,
): Refusal =>
  request.mayHaveRun
    ? { status: 504, reason: 'timedOut' }
    : {
        status: 503,
        reason,
        retryAfterMs: getRetryAfterMs(predictQueueing(state, request, nowMs).waitMs),
      };

const isUnservable = (state: RoutingState, request: TrackedRequest, nowMs: number): boolean => {
  const latencyModel = getLatencyModel(state, request.service);
  return nowMs + predictFirstEventMs(request, latencyModel) >= request.responseStartDeadlineAtMs;
};

const canFailOver = (state: RoutingState, request: TrackedRequest, context: StepContext): boolean =>
  isStalled(request, context.nowMs) &&
  !isExpired(request, context.nowMs) &&
  canRunAgain(state, request, context);

/** Refuses a request whose time is up and retries one whose target has stalled on another target. */
export const checkTimeouts = (
  state: RoutingState,
  request: TrackedRequest,
  context: StepContext,
): StepResult => {
  const { nowMs } = context;
  if (isOverdue(request, nowMs)) {
    return refuseRequest(
      recordOutcome(state, request, 'failed', nowMs),
      request,
      getRefusal(state, request, 'deadlinePassed', nowMs),
      nowMs,
    );
  }
  if (
    request.send === undefined &&
    !request.hasResponseStarted &&
    isUnservable(state, request, nowMs)
  ) {
    return refuseRequest(state, request, getRefusal(state, request, 'overloaded', nowMs), nowMs);
  }
  return canFailOver(state, request, context)
    ? handleSendFailure(state, request, 'silent', context)
    : createStepResult(state);
};
