import { getRetryAfterMs } from '../requests/getRetryAfterMs.js';
import { isRepeatable } from '../requests/isRepeatable.js';
import type { Refusal } from '../requests/refusal.js';
import { refuse } from '../requests/refuse.js';
import type { TrackedRequest } from '../requests/trackedRequest.js';
import { isRepeatAllowed } from '../retries/isRepeatAllowed.js';
import type { RoutingState } from '../routingState.js';
import { getPrefillMs } from '../targets/getPrefillMs.js';
import { newServicePace } from '../targets/newServicePace.js';
import { failSend } from './failSend.js';
import { isSilent } from './isSilent.js';
import { keep } from './keep.js';
import type { Outcome } from './outcome.js';
import type { Scope } from './scope.js';

const getRefusal = (
  state: RoutingState,
  { mayHaveRun, service }: TrackedRequest,
  reason: 'deadlinePassed' | 'overloaded',
  nowMs: number,
): Refusal =>
  mayHaveRun
    ? { status: 504, reason: 'timedOut' }
    : { status: 503, reason, retryAfterMs: getRetryAfterMs(state, service, nowMs) };

const isHopeless = (state: RoutingState, request: TrackedRequest, nowMs: number): boolean => {
  const pace = state.paces.get(request.service) ?? newServicePace();
  return nowMs + getPrefillMs(request, pace) >= request.patienceAtMs;
};

const isWorthMoving = (state: RoutingState, request: TrackedRequest, scope: Scope): boolean =>
  isSilent(request, scope.nowMs) &&
  isRepeatable(request.route) &&
  request.arrivals < request.route.maxAttempts &&
  isRepeatAllowed(state, request.service, scope);

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
