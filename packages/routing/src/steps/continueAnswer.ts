import { putRequest } from '../requests/putRequest.js';
import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { RoutingState } from '../routingState.js';
import { updateTarget } from '../targets/updateTarget.js';
import { keep } from './keep.js';
import type { Outcome } from './outcome.js';
import type { Scope } from './scope.js';

/** Notes that an answer is alive; with its first piece the prompt has been read. */
export const continueAnswer = (
  state: RoutingState,
  request: TrackedRequest,
  { nowMs }: Scope,
): Outcome => {
  const { send } = request;
  if (send === undefined) {
    return keep(state);
  }
  const isFirst = send.beganMs === undefined;
  const next = putRequest(state, {
    ...request,
    hasBegun: true,
    send: {
      ...send,
      beganMs: send.beganMs ?? nowMs,
      latestMs: nowMs,
      ...(isFirst ? {} : { longestGapMs: Math.max(send.longestGapMs ?? 0, nowMs - send.latestMs) }),
    },
  });
  return keep(
    isFirst
      ? updateTarget(next, send.targetId, (target) => ({
          ...target,
          prefillTokens: Math.max(0, target.prefillTokens - request.promptTokens),
        }))
      : next,
  );
};
