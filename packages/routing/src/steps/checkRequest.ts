import { predictPlacement } from '../queue/predictPlacement.js';
import { getRetryAfterMs } from '../requests/getRetryAfterMs.js';
import type { Refusal } from '../requests/refusal.js';
import { refuse } from '../requests/refuse.js';
import type { TrackedRequest } from '../requests/trackedRequest.js';
import { mayRunAgain } from '../retries/mayRunAgain.js';
import type { RoutingState } from '../routingState.js';
import { getPace } from '../targets/getPace.js';
import { getPrefillMs } from '../targets/getPrefillMs.js';
import { failSend } from './failSend.js';
import { isSilent } from './isSilent.js';
import { keep } from './keep.js';
import type { Outcome } from './outcome.js';
import type { Scope } from './scope.js';

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
        retryAfterMs: getRetryAfterMs(predictPlacement(state, request, nowMs).waitMs),
      };

const isHopeless = (state: RoutingState, request: TrackedRequest, nowMs: number): boolean => {
  const pace = getPace(state, request.service);
  return nowMs + getPrefillMs(request, pace) >= request.patienceAtMs;
};

const isWorthMoving = (state: RoutingState, request: TrackedRequest, scope: Scope): boolean =>
  isSilent(request, scope.nowMs) && mayRunAgain(state, request, scope);

/** Ends a request whose time is up and moves one whose target is stuck. */
export const checkRequest = (
  state: RoutingState,
  request: TrackedRequest,
  scope: Scope,
): Outcome => {
  const { nowMs } = scope;
  if (nowMs >= request.deadlineAtMs) {
    return refuse(state, request, getRefusal(state, request, 'deadlinePassed', nowMs), nowMs);
  }
  if (request.send === undefined && !request.hasBegun && isHopeless(state, request, nowMs)) {
    return refuse(state, request, getRefusal(state, request, 'overloaded', nowMs), nowMs);
  }
  return isWorthMoving(state, request, scope)
    ? failSend(state, request, 'silent', scope)
    : keep(state);
};
