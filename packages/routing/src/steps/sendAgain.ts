import { predictPlacement } from '../queue/predictPlacement.js';
import { closeSend } from '../requests/closeSend.js';
import { describeRequest } from '../requests/describeRequest.js';
import { getRetryAfterMs } from '../requests/getRetryAfterMs.js';
import { putRequest } from '../requests/putRequest.js';
import type { Refusal } from '../requests/refusal.js';
import { refuse } from '../requests/refuse.js';
import type { TrackedRequest } from '../requests/trackedRequest.js';
import { withoutSend } from '../requests/withoutSend.js';
import { mayArriveAgain } from '../retries/mayArriveAgain.js';
import { mayRunAgain } from '../retries/mayRunAgain.js';
import { noteSend } from '../retries/noteSend.js';
import type { RoutingState } from '../routingState.js';
import { andThen } from './andThen.js';
import { dispatchWaiting } from './dispatchWaiting.js';
import { keep } from './keep.js';
import type { Outcome } from './outcome.js';
import type { Scope } from './scope.js';

const MAX_SENDS = 6;

/** What is known of a send that brought no answer. */
type SendResult = 'neverSent' | 'notRun' | 'unknown';

const isAllowed = (
  state: RoutingState,
  request: TrackedRequest,
  result: SendResult,
  scope: Scope,
): boolean => {
  if (request.sends >= MAX_SENDS) {
    return false;
  }
  switch (result) {
    case 'neverSent':
      return true;
    case 'notRun':
      return mayArriveAgain(state, request, scope);
    case 'unknown':
      return mayRunAgain(state, request, scope);
  }
};

const getRefusal = (state: RoutingState, request: TrackedRequest, nowMs: number): Refusal =>
  request.mayHaveRun
    ? { status: 502, reason: 'outcomeUnknown' }
    : {
        status: 503,
        reason: 'refusedByTargets',
        retryAfterMs: getRetryAfterMs(predictPlacement(state, request, nowMs).waitMs),
      };

const afterSend = (request: TrackedRequest, result: SendResult): TrackedRequest => {
  const waiting = withoutSend(request);
  if (result === 'unknown') {
    return waiting;
  }
  const mayHaveRun = request.send?.mayHaveRunBefore ?? request.mayHaveRun;
  return result === 'notRun'
    ? { ...waiting, mayHaveRun }
    : {
        ...waiting,
        mayHaveRun,
        arrivals: waiting.arrivals - 1,
        triedTargets: waiting.triedTargets.slice(0, -1),
      };
};

/** Lets a request wait again whose send brought no answer, where that is allowed; else ends it. */
export const sendAgain = (
  state: RoutingState,
  request: TrackedRequest,
  result: SendResult,
  scope: Scope,
): Outcome => {
  const waiting = afterSend(request, result);
  const closed = closeSend(state, request);
  if (!isAllowed(closed, waiting, result, scope)) {
    return refuse(closed, waiting, getRefusal(closed, waiting, scope.nowMs), scope.nowMs);
  }
  const counted =
    result === 'neverSent' ? closed : noteSend(closed, request.service, 'repeat', scope);
  const queued = keep(putRequest(counted, waiting), {
    type: 'observe',
    name: 'requestQueuedAgain',
    fields: { ...describeRequest(request, scope.nowMs), result },
  });
  return andThen(queued, (current) => dispatchWaiting(current, request.service, scope));
};
