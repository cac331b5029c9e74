import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { RoutingState } from '../routingState.js';
import type { SendFailure } from '../sendFailure.js';
import { andThen } from './andThen.js';
import { keep } from './keep.js';
import type { Outcome } from './outcome.js';
import type { Scope } from './scope.js';
import { restTarget } from './restTarget.js';
import { sendAgain } from './sendAgain.js';

/** A send ended without a whole answer. */
export const failSend = (
  state: RoutingState,
  request: TrackedRequest,
  failure: SendFailure,
  scope: Scope,
): Outcome => {
  const { send, requestId } = request;
  if (send === undefined) {
    return keep(state);
  }
  const fields = {
    requestId,
    ...(request.attemptId === undefined ? {} : { attemptId: request.attemptId }),
    sendId: send.sendId,
    target: send.targetId,
    failure,
    afterMs: Math.round(scope.nowMs - send.sentMs),
  };
  const cancelled = andThen(restTarget(state, send.targetId, scope.nowMs), (rested) =>
    keep(
      rested,
      { type: 'cancelSend', requestId, sendId: send.sendId },
      { type: 'observe', name: 'sendFailed', fields },
    ),
  );
  const result = failure === 'neverSent' ? 'neverSent' : 'unknown';
  return andThen(cancelled, (current) => sendAgain(current, request, result, scope));
};
