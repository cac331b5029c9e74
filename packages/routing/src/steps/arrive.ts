import type { RoutedTeam } from '../configuration/routedTeam.js';
import { noteInflow } from '../flow/noteInflow.js';
import { getWaitMs } from '../queue/getWaitMs.js';
import { rankWaiting } from '../queue/rankWaiting.js';
import { takeQuota } from '../quota/takeQuota.js';
import type { Arrival } from '../requests/arrival.js';
import { getRetryAfterMs } from '../requests/getRetryAfterMs.js';
import { newRequest } from '../requests/newRequest.js';
import { putRequest } from '../requests/putRequest.js';
import type { Refusal } from '../requests/refusal.js';
import { refuse } from '../requests/refuse.js';
import type { TrackedRequest } from '../requests/trackedRequest.js';
import { noteSend } from '../retries/noteSend.js';
import type { RoutingState } from '../routingState.js';
import { getCandidates } from '../targets/getCandidates.js';
import { getPace } from '../targets/getPace.js';
import { getPrefillMs } from '../targets/getPrefillMs.js';
import { admit } from './admit.js';
import { dispatchWaiting } from './dispatchWaiting.js';
import { keep } from './keep.js';
import type { Outcome } from './outcome.js';
import type { Scope } from './scope.js';

/** When to ask again where no target is listed, in milliseconds. */
const NO_TARGET_RETRY_MS = 1_000;

const refuseArrival = (
  state: RoutingState,
  arrival: Arrival,
  refusal: Refusal,
  inputs: Readonly<Record<string, string | number | boolean>> = {},
): Outcome =>
  keep(
    state,
    { type: 'answer', requestId: arrival.requestId, refusal },
    {
      type: 'observe',
      name: 'requestRefused',
      fields: {
        requestId: arrival.requestId,
        ...(arrival.attemptId === undefined ? {} : { attemptId: arrival.attemptId }),
        callerHost: arrival.host,
        reason: refusal.reason,
        status: refusal.status,
        mayHaveRun: false,
        version: state.index?.configuration.version ?? 0,
        ...inputs,
      },
    },
  );

const describeQuota = (
  team: RoutedTeam | undefined,
  cost: number,
): Readonly<Record<string, string | number>> =>
  team?.quota === undefined
    ? {}
    : {
        team: team.name,
        cost,
        perSecond: team.quota.perSecond,
        burst: team.quota.burst,
      };

const findOverload = (
  state: RoutingState,
  request: TrackedRequest,
  { nowMs }: Scope,
): Refusal | undefined => {
  const candidates = getCandidates(state, request.service, nowMs);
  if (candidates.length === 0) {
    return { status: 503, reason: 'noTarget', retryAfterMs: NO_TARGET_RETRY_MS };
  }
  const waitMs = getWaitMs(state, request, nowMs);
  const prefillMs = getPrefillMs(request, getPace(state, request.service));
  return nowMs + waitMs + prefillMs <= request.patienceAtMs
    ? undefined
    : {
        status: 503,
        reason: 'overloaded',
        retryAfterMs: getRetryAfterMs(waitMs),
      };
};

const takeIn = (state: RoutingState, request: TrackedRequest, nowMs: number): RoutingState => {
  const ranked = rankWaiting(request, getPace(state, request.service), nowMs);
  return putRequest(noteInflow(state, ranked, nowMs), request);
};

/** Takes an arriving request in, or answers it at once. */
export const arrive = (state: RoutingState, arrival: Arrival, scope: Scope): Outcome => {
  const { nowMs } = scope;
  const admission = admit(state, arrival, scope);
  if (admission.type === 'refused') {
    return refuseArrival(state, arrival, admission.refusal);
  }
  const { route, service, team } = admission;
  const { promptTokens, maxOutputTokens } = arrival;
  const tokens = promptTokens === undefined ? undefined : promptTokens + (maxOutputTokens ?? 0);
  const counted = noteSend(state, service, 'request', scope);
  const taken = takeQuota(counted, team, tokens, scope);
  if (taken.waitMs > 0) {
    const retryAfterMs = Math.ceil(taken.waitMs);
    return refuseArrival(
      taken.state,
      arrival,
      { status: 429, reason: 'quotaExceeded', retryAfterMs },
      describeQuota(team, taken.cost),
    );
  }
  const { cost: quotaCost, isBeyond: isBeyondQuota } = taken;
  const request = newRequest({
    arrival,
    route,
    service,
    team,
    quotaCost,
    isBeyondQuota,
    nowMs,
  });
  const overload = findOverload(taken.state, request, scope);
  if (overload !== undefined) {
    return refuse(taken.state, request, overload, nowMs);
  }
  return dispatchWaiting(takeIn(taken.state, request, nowMs), service, scope);
};
