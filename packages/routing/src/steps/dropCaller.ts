import { returnQuota } from '../quota/returnQuota.js';
import { closeSend } from '../requests/closeSend.js';
import { describeRequest } from '../requests/describeRequest.js';
import { removeRequest } from '../requests/removeRequest.js';
import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { RoutingState } from '../routingState.js';
import { andThen } from './andThen.js';
import { dispatchWaiting } from './dispatchWaiting.js';
import { keep } from './keep.js';
import type { Outcome } from './outcome.js';
import type { Scope } from './scope.js';

/** The caller has gone: what it asked for is stopped. */
export const dropCaller = (state: RoutingState, request: TrackedRequest, scope: Scope): Outcome => {
  const { requestId, send } = request;
  const settled = request.mayHaveRun ? state : returnQuota(state, request);
  const dropped = keep(
    removeRequest(closeSend(settled, request), request),
    ...(send === undefined
      ? []
      : [{ type: 'cancelSend', requestId, sendId: send.sendId } as const]),
    {
      type: 'observe',
      name: 'callerGone',
      fields: describeRequest(request, scope.nowMs),
    },
  );
  return andThen(dropped, (current) => dispatchWaiting(current, request.service, scope));
};
