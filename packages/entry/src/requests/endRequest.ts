import type { EntryScope } from '../entryScope.js';
import type { EntryStep } from '../entryStep.js';
import { emit } from '../steps/emit.js';
import { forgetWaiter } from '../keys/forgetWaiter.js';
import { replaceRequest } from './replaceRequest.js';
import type { TrackedRequest } from './trackedRequest.js';

/** Takes a request out of the state and tells what became of it. */
export const endRequest = (
  scope: EntryScope,
  step: EntryStep,
  tracked: TrackedRequest,
  ending: { readonly outcome: string; readonly reason: string; readonly decodeTokens: number },
): EntryStep => {
  const { request, answer } = tracked;
  const removed = {
    state: replaceRequest(forgetWaiter(step.state, tracked), request.requestId, undefined),
    effects: step.effects,
  };
  return emit(removed, {
    type: 'observe',
    name: 'requestEnded',
    fields: {
      requestId: request.requestId,
      team: request.team,
      tier: request.tier,
      pool: request.pool,
      kind: request.kind,
      ...ending,
      prefillTokens: request.prefillTokens,
      totalMs: scope.nowMs - tracked.arrivedAtMs,
      firstByteMs:
        answer.firstByteAtMs === undefined ? -1 : answer.firstByteAtMs - tracked.arrivedAtMs,
      isInTime: ending.outcome === 'answered' && scope.nowMs <= request.deadlineMs,
    },
  });
};
