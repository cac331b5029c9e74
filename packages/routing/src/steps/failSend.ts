import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { RoutingState } from '../routingState.js';
import type { SendFailure } from '../sendFailure.js';
import { noteFailure } from '../targets/noteFailure.js';
import { updateTarget } from '../targets/updateTarget.js';
import { andThen } from './andThen.js';
import { keep } from './keep.js';
import type { Outcome } from './outcome.js';
import type { Scope } from './scope.js';
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
  const noted = updateTarget(state, send.targetId, (target) => noteFailure(target, scope.nowMs));
  const cancelled = keep(
    noted,
    { type: 'cancelSend', requestId, sendId: send.sendId },
    {
      type: 'observe',
      name: 'sendFailed',
      fields: {
        requestId,
        ...(request.attemptId === undefined ? {} : { attemptId: request.attemptId }),
        sendId: send.sendId,
        target: send.targetId,
        failure,
        afterMs: Math.round(scope.nowMs - send.sentMs),
      },
    },
  );
  const result = failure === 'neverSent' ? 'neverSent' : 'unknown';
  return andThen(cancelled, (current) => sendAgain(current, request, result, scope));
};
