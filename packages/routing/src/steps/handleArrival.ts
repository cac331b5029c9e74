import type { RoutedTeam } from '../configuration/routedTeam.js';
import { getVersion } from '../configuration/getVersion.js';
import { recordAdmittedLoad } from '../load/recordAdmittedLoad.js';
import { getTooLateWaitMs } from '../memory/getTooLateWaitMs.js';
import { getMeanHeldTokens } from '../memory/getMeanHeldTokens.js';
import { getTooLargeRefusal } from '../memory/getTooLargeRefusal.js';
import { recordMemoryUse } from '../memory/recordMemoryUse.js';
import type { Observation } from '../observations/observation.js';
import { describeWait } from '../queue/describeWait.js';
import type { QueuePrediction } from '../queue/queuePrediction.js';
import { predictQueueing } from '../queue/predictQueueing.js';
import { admitPrompt } from '../quarantine/admitPrompt.js';
import { boundPromptParts } from '../quarantine/boundPromptParts.js';
import { consumeQuota } from '../quota/consumeQuota.js';
import type { Arrival } from '../requests/arrival.js';
import { describeRequest } from '../requests/describeRequest.js';
import { getRetryAfterMs } from '../requests/getRetryAfterMs.js';
import { isExpired } from '../requests/isExpired.js';
import { newRequest } from '../requests/newRequest.js';
import { putRequest } from '../requests/putRequest.js';
import { refuseRequest } from '../requests/refuseRequest.js';
import type { Refusal } from '../requests/refusal.js';
import type { TrackedRequest } from '../requests/trackedRequest.js';
import { countForRetryBudget } from '../retries/countForRetryBudget.js';
import type { RoutingState } from '../routingState.js';
import { getCandidates } from '../targets/getCandidates.js';
import { getAvailabilityDelayMs } from '../targets/getAvailabilityDelayMs.js';
import { admitArrival } from './admitArrival.js';
import { chainStep } from './chainStep.js';
import { dispatchWaiting } from './dispatchWaiting.js';
import { createStepResult } from './createStepResult.js';
import type { StepResult } from './stepResult.js';
import { refuseArrival } from './refuseArrival.js';
import type { StepContext } from './stepContext.js';

/** Retry-after of a service without any available target. */
const NO_TARGET_RETRY_MS = 1_000;

const getQuotaFields = (team: RoutedTeam | undefined, cost: number) =>
  team?.quota === undefined
    ? {}
    : {
        team: team.name,
        cost,
        perSecond: team.quota.perSecond,
        burst: team.quota.burst,
      };

const refuseForWait = (
  state: RoutingState,
  request: TrackedRequest,
  prediction: QueuePrediction,
  nowMs: number,
): StepResult => {
  const retryAfterMs = getRetryAfterMs(prediction.waitMs);
  const predictionFields = {
    ...describeWait(prediction),
    prefillMs: Math.round(prediction.firstEventMs),
  };
  const reason = nowMs >= request.deadlineAtMs ? 'deadlinePassed' : 'overloaded';
  return refuseRequest(
    state,
    request,
    { status: 503, reason, retryAfterMs },
    nowMs,
    predictionFields,
  );
};

const reportIfQueued = (
  state: RoutingState,
  request: TrackedRequest,
  prediction: QueuePrediction,
  nowMs: number,
): StepResult => {
  const fields = {
    ...describeRequest(request, nowMs),
    ahead: prediction.requestsAhead,
    ...describeWait(prediction),
    version: getVersion(state),
  };
  const observation: Observation = { type: 'observe', name: 'requestQueued', fields };
  const isWaiting = state.waiting.get(request.service)?.has(request.requestId) === true;
  return isWaiting ? createStepResult(state, observation) : createStepResult(state);
};

const reportTrial = (
  state: RoutingState,
  promptParts: string | undefined,
  { requestId }: TrackedRequest,
): StepResult =>
  promptParts === undefined
    ? createStepResult(state)
    : createStepResult(state, {
        type: 'observe',
        name: 'promptTried',
        fields: { promptParts, requestId },
      });

/** The refusal of a request if no target will take it before its caller gives up; undefined if one will. */
const getUnavailableRefusal = (
  state: RoutingState,
  { service, responseStartDeadlineAtMs }: TrackedRequest,
  nowMs: number,
): Refusal | undefined => {
  if (getCandidates(state, service, nowMs).length > 0) {
    return undefined;
  }
  const availableInMs = getAvailabilityDelayMs(state, service, nowMs);
  if (availableInMs === undefined) {
    return { status: 503, reason: 'noTarget', retryAfterMs: NO_TARGET_RETRY_MS };
  }
  return nowMs + availableInMs < responseStartDeadlineAtMs
    ? undefined
    : { status: 503, reason: 'refusedByTargets', retryAfterMs: Math.ceil(availableInMs) };
};

/** Queues a request and sends it if a target has a free slot, or refuses it if it is predicted to start too late. */
const enqueueOrRefuse = (
  state: RoutingState,
  request: TrackedRequest,
  context: StepContext,
): StepResult => {
  const { nowMs } = context;
  const { service } = request;
  const refusal =
    getTooLargeRefusal(state, request) ?? getUnavailableRefusal(state, request, nowMs);
  if (refusal !== undefined) {
    return refuseRequest(state, request, refusal, nowMs);
  }
  const prediction = predictQueueing(state, request, nowMs);
  const firstEventAtMs = nowMs + prediction.waitMs + prediction.firstEventMs;
  if (firstEventAtMs > request.responseStartDeadlineAtMs || isExpired(request, nowMs)) {
    return refuseForWait(state, request, prediction, nowMs);
  }
  // A request that is refused for lack of memory counts too: its size and team rank higher afterwards, and the other
  // entries are assumed to receive as many.
  const recorded = recordAdmittedLoad(state, prediction.rankedRequest, nowMs);
  const counted = recordMemoryUse(recorded, request, nowMs);
  const waitMs = getTooLateWaitMs(counted, request, nowMs);
  if (waitMs !== undefined) {
    return refuseForWait(counted, request, { ...prediction, waitMs }, nowMs);
  }
  const queued = putRequest(counted, request);
  const dispatched = dispatchWaiting(queued, service, context);
  return chainStep(dispatched, (current) => reportIfQueued(current, request, prediction, nowMs));
};

/** Admits an arriving request, or refuses it immediately. */
export const handleArrival = (
  state: RoutingState,
  arrival: Arrival,
  context: StepContext,
): StepResult => {
  const { nowMs } = context;
  const admission = admitArrival(state, arrival, context);
  if (admission.type === 'refused') {
    return refuseArrival(state, arrival, admission.refusal, context);
  }
  const sharedPromptParts = boundPromptParts(arrival.sharedPromptParts);
  const promptAdmission = admitPrompt(state, sharedPromptParts, context);
  if (promptAdmission.type === 'refused') {
    const { refusal, promptParts } = promptAdmission;
    return refuseArrival(state, arrival, refusal, context, { promptParts });
  }
  const { route, service, team } = admission;
  const { promptTokens, maxOutputTokens } = arrival;
  const tokens = promptTokens === undefined ? undefined : promptTokens + (maxOutputTokens ?? 0);
  const counted = countForRetryBudget(promptAdmission.state, service, 'request', context);
  const charge = consumeQuota(counted, team, tokens, context);
  if (charge.waitMs > 0) {
    const refusal = {
      status: 429,
      reason: 'quotaExceeded',
      retryAfterMs: Math.ceil(charge.waitMs),
    } as const;
    return refuseArrival(
      charge.state,
      arrival,
      refusal,
      context,
      getQuotaFields(team, charge.cost),
    );
  }
  const request = newRequest({
    arrival,
    route,
    service,
    team,
    sharedPromptParts,
    quotaCost: charge.cost,
    isBeyondQuota: charge.isBeyondQuota,
    meanHeldTokens: getMeanHeldTokens(state, service),
    nowMs,
  });
  const trial = reportTrial(charge.state, promptAdmission.trialOf, request);
  return chainStep(trial, (current) => enqueueOrRefuse(current, request, context));
};
