import { closeSend } from '../requests/closeSend.js';
import { describeRequest } from '../requests/describeRequest.js';
import { isStream } from '../requests/isStream.js';
import { removeRequest } from '../requests/removeRequest.js';
import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { RoutingState } from '../routingState.js';
import { getEventPaceMs } from '../targets/getEventPaceMs.js';
import { getPace } from '../targets/getPace.js';
import { learnPace } from '../targets/learnPace.js';
import { notePace } from '../targets/notePace.js';
import { updateTarget } from '../targets/updateTarget.js';
import { andThen } from './andThen.js';
import { dispatchWaiting } from './dispatchWaiting.js';
import { keep } from './keep.js';
import type { Outcome } from './outcome.js';
import type { Scope } from './scope.js';

/** An answer was handed on whole. */
export const endAnswer = (
  state: RoutingState,
  request: TrackedRequest,
  events: number,
  scope: Scope,
): Outcome => {
  const { send, service } = request;
  const { nowMs } = scope;
  if (send === undefined) {
    return keep(state);
  }
  const paceMs = isStream(request.route)
    ? getEventPaceMs(send, events, nowMs)
    : nowMs - send.sentMs;
  const closed = removeRequest(closeSend(state, request), request);
  const paced = updateTarget(closed, send.targetId, (target) =>
    paceMs === undefined ? target : notePace(target, paceMs),
  );
  const pace = learnPace(getPace(state, service), request, send, nowMs);
  const ended = keep(
    { ...paced, paces: state.paces.set(service, pace) },
    {
      type: 'observe',
      name: 'requestAnswered',
      fields: {
        ...describeRequest(request, nowMs),
        targetStatus: send.status ?? 0,
        events,
        waitedMs: Math.round(send.sentMs - request.arrivedMs),
        longestGapMs: Math.round(send.longestGapMs ?? 0),
        firstMs: Math.round((send.beganMs ?? nowMs) - request.arrivedMs),
      },
    },
  );
  return andThen(ended, (current) => dispatchWaiting(current, service, scope));
};
