import type { AnswerHead } from '../answerHead.js';
import { putRequest } from '../requests/putRequest.js';
import type { TrackedRequest } from '../requests/trackedRequest.js';
import { mayRunAgain } from '../retries/mayRunAgain.js';
import type { RoutingState } from '../routingState.js';
import { andThen } from './andThen.js';
import { failSend } from './failSend.js';
import { keep } from './keep.js';
import type { Outcome } from './outcome.js';
import type { Scope } from './scope.js';
import { noteWish } from './noteWish.js';
import { restTarget } from './restTarget.js';
import { sendAgain } from './sendAgain.js';

const FIRST_SERVER_ERROR = 500;
const FIRST_ERROR = 400;

const isWorthRepeating = (
  state: RoutingState,
  request: TrackedRequest,
  head: AnswerHead,
  scope: Scope,
): boolean => head.status >= FIRST_SERVER_ERROR && mayRunAgain(state, request, scope);

const judge = (
  state: RoutingState,
  request: TrackedRequest,
  head: AnswerHead,
  scope: Scope,
): Outcome => {
  const { requestId, send } = request;
  if (send === undefined) {
    return keep(state);
  }
  const cancel = { type: 'cancelSend', requestId, sendId: send.sendId } as const;
  if (head.isNotRun) {
    const rested = andThen(restTarget(state, send.targetId, scope.nowMs), (current) =>
      keep(current, cancel),
    );
    return andThen(rested, (current) => sendAgain(current, request, 'notRun', scope));
  }
  if (head.isForeign || (!head.isSealed && head.status < FIRST_ERROR)) {
    return failSend(state, request, 'malformed', scope);
  }
  if (request.hasBegun && head.status >= FIRST_ERROR) {
    return failSend(state, request, 'broken', scope);
  }
  if (!head.isSealed || isWorthRepeating(state, request, head, scope)) {
    return failSend(state, request, 'broken', scope);
  }
  const began: TrackedRequest = {
    ...request,
    send: { ...send, latestMs: scope.nowMs, status: head.status },
  };
  return keep(putRequest(state, began));
};

/** Judges the head of an answer: hands it on, or sends the request elsewhere. */
export const beginAnswer = (
  state: RoutingState,
  request: TrackedRequest,
  head: AnswerHead,
  scope: Scope,
): Outcome =>
  request.send === undefined
    ? keep(state)
    : andThen(noteWish(state, request.send.targetId, head, scope.nowMs), (current) =>
        judge(current, request, head, scope),
      );
