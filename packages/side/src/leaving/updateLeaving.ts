import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import type { SideStep } from '../step/sideStep.js';
import type { LeavingState } from './leavingState.js';
import { burnGrant } from '../grants/burnGrant.js';
import { handBack } from '../queue/handBack.js';
import { andThen } from '../step/andThen.js';
import { newStep } from '../step/newStep.js';
import { sendToEntry } from '../step/sendToEntry.js';

const RETRY_ELSEWHERE_MS = 0;

const handBackAll = (state: SideState): SideStep => {
  const first = state.queue.byRequest.first();
  return first === undefined
    ? newStep(state)
    : andThen(
        handBack(state, first, { reason: 'draining', retryAfterMs: RETRY_ELSEWHERE_MS }),
        handBackAll,
      );
};

const voidAll = (context: SideContext, state: SideState): SideStep => {
  const first = state.grants.byExpiry.first();
  const grant = first && state.grants.byId.get(first.id);
  if (grant === undefined) {
    return newStep(state);
  }
  const { requestId, entry } = grant.waiting;
  const returned = newStep(
    burnGrant(context, state, grant),
    sendToEntry(entry, {
      type: 'handBack',
      requestId,
      reason: 'draining',
      retryAfterMs: RETRY_ELSEWHERE_MS,
    }),
  );
  return andThen(returned, (next) => voidAll(context, next));
};

/** Changes what is known of leaving; when new work is no longer taken, what waits is handed back. */
export const updateLeaving = (
  context: SideContext,
  state: SideState,
  change: Partial<LeavingState>,
): SideStep => {
  const leaving = { ...state.leaving, ...change };
  const next = { ...state, leaving };
  return context.decisions.acceptsNewWork(leaving)
    ? newStep(next)
    : andThen(handBackAll(next), (handed) => voidAll(context, handed));
};
