import { predictQueueing } from '../queue/predictQueueing.js';
import { findQuarantine } from '../quarantine/findQuarantine.js';
import { getQuarantineRefusal } from '../quarantine/getQuarantineRefusal.js';
import { releaseSend } from '../requests/releaseSend.js';
import { getKeyChangedRefusal } from '../requests/getKeyChangedRefusal.js';
import { hasTeamChanged } from '../requests/hasTeamChanged.js';
import { describeRequest } from '../requests/describeRequest.js';
import { getRetryAfterMs } from '../requests/getRetryAfterMs.js';
import { putRequest } from '../requests/putRequest.js';
import type { Refusal } from '../requests/refusal.js';
import { refuseRequest } from '../requests/refuseRequest.js';
import type { TrackedRequest } from '../requests/trackedRequest.js';
import { removeSend } from '../requests/removeSend.js';
import { hasRetriesLeft } from '../retries/hasRetriesLeft.js';
import { canRunAgain } from '../retries/canRunAgain.js';
import { countForRetryBudget } from '../retries/countForRetryBudget.js';
import type { RoutingState } from '../routingState.js';
import { chainStep } from './chainStep.js';
import { dispatchWaiting } from './dispatchWaiting.js';
import { createStepResult } from './createStepResult.js';
import type { StepResult } from './stepResult.js';
import type { StepContext } from './stepContext.js';

/** Upper bound on all sends of a request, including those that reached no target and count as no attempt. */
const MAX_SENDS_PER_REQUEST = 6;

/** Whether the target may have run a request whose send brought no response. */
type SendResult = 'neverSent' | 'notRun' | 'unknown';

const isRetryAllowed = (
  state: RoutingState,
  request: TrackedRequest,
  result: SendResult,
  context: StepContext,
): boolean => {
  const isQuarantined = findQuarantine(state, request.sharedPromptParts) !== undefined;
  if (request.sends >= MAX_SENDS_PER_REQUEST || isQuarantined || hasTeamChanged(state, request)) {
    return false;
  }
  switch (result) {
    case 'neverSent':
      return true;
    case 'notRun':
      return hasRetriesLeft(state, request, context);
    case 'unknown':
      return canRunAgain(state, request, context);
  }
};

const getRefusal = (state: RoutingState, request: TrackedRequest, nowMs: number): Refusal => {
  const quarantine = findQuarantine(state, request.sharedPromptParts);
  if (quarantine !== undefined) {
    return getQuarantineRefusal(quarantine, request.mayHaveRun, nowMs);
  }
  if (hasTeamChanged(state, request)) {
    return getKeyChangedRefusal(request);
  }
  return request.mayHaveRun
    ? { status: 502, reason: 'outcomeUnknown' }
    : {
        status: 503,
        reason: 'refusedByTargets',
        retryAfterMs: getRetryAfterMs(predictQueueing(state, request, nowMs).waitMs),
      };
};

const toWaiting = (request: TrackedRequest, result: SendResult): TrackedRequest => {
  const waiting = removeSend(request);
  if (result === 'unknown') {
    return waiting;
  }
  const mayHaveRun = request.send?.mayHaveRunBefore ?? request.mayHaveRun;
  return result === 'notRun'
    ? { ...waiting, mayHaveRun }
    : {
        ...waiting,
        mayHaveRun,
        attempts: waiting.attempts - 1,
        triedTargetIds: waiting.triedTargetIds.slice(0, -1),
      };
};

/** Queues a request again after a send without a response if another attempt is allowed; otherwise refuses it. */
export const retryOrRefuse = (
  state: RoutingState,
  request: TrackedRequest,
  result: SendResult,
  context: StepContext,
): StepResult => {
  const waiting = toWaiting(request, result);
  const released = releaseSend(state, request);
  if (!isRetryAllowed(released, waiting, result, context)) {
    return refuseRequest(
      released,
      waiting,
      getRefusal(released, waiting, context.nowMs),
      context.nowMs,
    );
  }
  const counted =
    result === 'neverSent'
      ? released
      : countForRetryBudget(released, request.service, 'retry', context);
  const queued = createStepResult(putRequest(counted, waiting), {
    type: 'observe',
    name: 'requestQueuedAgain',
    fields: { ...describeRequest(request, context.nowMs), result },
  });
  return chainStep(queued, (current) => dispatchWaiting(current, request.service, context));
};
