import type { RoutedTeam } from '../configuration/routedTeam.js';
import { getVersion } from '../configuration/getVersion.js';
import { noteInflow } from '../flow/noteInflow.js';
import type { Observation } from '../observations/observation.js';
import { describeWait } from '../queue/describeWait.js';
import type { Placement } from '../queue/placement.js';
import { predictPlacement } from '../queue/predictPlacement.js';
import { takeQuota } from '../quota/takeQuota.js';
import type { Arrival } from '../requests/arrival.js';
import { describeRequest } from '../requests/describeRequest.js';
import { getRetryAfterMs } from '../requests/getRetryAfterMs.js';
import { isTimeOver } from '../requests/isTimeOver.js';
import { newRequest } from '../requests/newRequest.js';
import { putRequest } from '../requests/putRequest.js';
import { refuse } from '../requests/refuse.js';
import type { Refusal } from '../requests/refusal.js';
import type { TrackedRequest } from '../requests/trackedRequest.js';
import { noteSend } from '../retries/noteSend.js';
import type { RoutingState } from '../routingState.js';
import { getCandidates } from '../targets/getCandidates.js';
import { getReturnMs } from '../targets/getReturnMs.js';
import { admit } from './admit.js';
import { andThen } from './andThen.js';
import { dispatchWaiting } from './dispatchWaiting.js';
import { keep } from './keep.js';
import type { Outcome } from './outcome.js';
import { refuseArrival } from './refuseArrival.js';
import type { Scope } from './scope.js';

/** When to ask again where no target is listed, in milliseconds. */
const NO_TARGET_RETRY_MS = 1_000;

const describeQuota = (team: RoutedTeam | undefined, cost: number) =>
  team?.quota === undefined
    ? {}
    : {
        team: team.name,
        cost,
        perSecond: team.quota.perSecond,
        burst: team.quota.burst,
      };

const refuseVain = (
  state: RoutingState,
  request: TrackedRequest,
  placement: Placement,
  nowMs: number,
): Outcome => {
  const retryAfterMs = getRetryAfterMs(placement.waitMs);
  const inputs = { ...describeWait(placement), prefillMs: Math.round(placement.prefillMs) };
  const reason = nowMs >= request.deadlineAtMs ? 'deadlinePassed' : 'overloaded';
  return refuse(state, request, { status: 503, reason, retryAfterMs }, nowMs, inputs);
};

const observeWaiting = (
  state: RoutingState,
  request: TrackedRequest,
  placement: Placement,
  nowMs: number,
): Outcome => {
  const fields = {
    ...describeRequest(request, nowMs),
    ahead: placement.ahead,
    ...describeWait(placement),
    version: getVersion(state),
  };
  const line: Observation = { type: 'observe', name: 'requestQueued', fields };
  const isWaiting = state.waiting.get(request.service)?.has(request.requestId) === true;
  return isWaiting ? keep(state, line) : keep(state);
};

/** Why no target takes a request while its caller waits; undefined where one does, or will. */
const getAbsence = (
  state: RoutingState,
  { service, patienceAtMs }: TrackedRequest,
  nowMs: number,
): Refusal | undefined => {
  if (getCandidates(state, service, nowMs).length > 0) {
    return undefined;
  }
  const returnMs = getReturnMs(state, service, nowMs);
  if (returnMs === undefined) {
    return { status: 503, reason: 'noTarget', retryAfterMs: NO_TARGET_RETRY_MS };
  }
  return nowMs + returnMs < patienceAtMs
    ? undefined
    : { status: 503, reason: 'refusedByTargets', retryAfterMs: Math.ceil(returnMs) };
};

/** Lets a request wait and starts it if there is room, or refuses it if it would wait in vain. */
const queue = (state: RoutingState, request: TrackedRequest, scope: Scope): Outcome => {
  const { nowMs } = scope;
  const { service } = request;
  const absence = getAbsence(state, request, nowMs);
  if (absence !== undefined) {
    return refuse(state, request, absence, nowMs);
  }
  const placement = predictPlacement(state, request, nowMs);
  const beginsMs = nowMs + placement.waitMs + placement.prefillMs;
  if (beginsMs > request.patienceAtMs || isTimeOver(request, nowMs)) {
    return refuseVain(state, request, placement, nowMs);
  }
  const taken = putRequest(noteInflow(state, placement.own, nowMs), request);
  const dispatched = dispatchWaiting(taken, service, scope);
  return andThen(dispatched, (current) => observeWaiting(current, request, placement, nowMs));
};

/** Takes an arriving request in, or answers it at once. */
export const arrive = (state: RoutingState, arrival: Arrival, scope: Scope): Outcome => {
  const { nowMs } = scope;
  const admission = admit(state, arrival, scope);
  if (admission.type === 'refused') {
    return refuseArrival(state, arrival, admission.refusal, scope);
  }
  const { route, service, team } = admission;
  const { promptTokens, maxOutputTokens } = arrival;
  const tokens = promptTokens === undefined ? undefined : promptTokens + (maxOutputTokens ?? 0);
  const counted = noteSend(state, service, 'request', scope);
  const taken = takeQuota(counted, team, tokens, scope);
  if (taken.waitMs > 0) {
    const refusal = {
      status: 429,
      reason: 'quotaExceeded',
      retryAfterMs: Math.ceil(taken.waitMs),
    } as const;
    return refuseArrival(taken.state, arrival, refusal, scope, describeQuota(team, taken.cost));
  }
  const request = newRequest({
    arrival,
    route,
    service,
    team,
    quotaCost: taken.cost,
    isBeyondQuota: taken.isBeyond,
    nowMs,
  });
  return queue(taken.state, request, scope);
};
