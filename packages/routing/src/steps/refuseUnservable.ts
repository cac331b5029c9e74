import { findUnservable } from '../queue/findUnservable.js';
import { describeWait } from '../queue/describeWait.js';
import { getRetryAfterMs } from '../requests/getRetryAfterMs.js';
import { refuseRequest } from '../requests/refuseRequest.js';
import type { Refusal } from '../requests/refusal.js';
import type { RoutingState } from '../routingState.js';
import { runStepForEach } from './runStepForEach.js';
import type { StepResult } from './stepResult.js';
import type { StepContext } from './stepContext.js';

/** Refuses waiting requests that are predicted to start too late, so that their callers can retry elsewhere. */
export const refuseUnservable = (state: RoutingState, { nowMs }: StepContext): StepResult =>
  runStepForEach(state, state.waiting.keys(), (current, service) => {
    const unservable = findUnservable(current, service, nowMs);
    return runStepForEach(current, unservable, (next, { request, wait }) => {
      const refusal: Refusal = request.mayHaveRun
        ? { status: 504, reason: 'timedOut' }
        : { status: 503, reason: 'overloaded', retryAfterMs: getRetryAfterMs(wait.waitMs) };
      return refuseRequest(next, request, refusal, nowMs, describeWait(wait));
    });
  });
