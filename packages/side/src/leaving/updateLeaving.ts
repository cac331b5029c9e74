import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import type { SideStep } from '../step/sideStep.js';
import type { LeavingState } from './leavingState.js';
import { burnGrant } from '../grants/burnGrant.js';
import { handBack } from '../queue/handBack.js';
import { andThen } from '../step/andThen.js';
import { newStep } from '../step/newStep.js';
import { repeatStep } from '../step/repeatStep.js';
import { sendToEntry } from '../step/sendToEntry.js';

const RETRY_ELSEWHERE_MS = 0;

const handBackFirst = (state: SideState): SideStep | undefined => {
  const first = state.queue.byRequest.first();
  return first && handBack(state, first, { reason: 'draining', retryAfterMs: RETRY_ELSEWHERE_MS });
};

const voidFirst = (context: SideContext, state: SideState): SideStep | undefined => {
  const first = state.grants.byExpiry.first();
  const grant = first && state.grants.byId.get(first.id);
  if (grant === undefined) {
    return undefined;
  }
  const { requestId, entry } = grant.waiting;
  // The entry may have given the request already; only this tells it that the give finds no process.
  return newStep(
    burnGrant(context, state, grant),
    sendToEntry(entry, { type: 'refused', grantId: grant.grantId, requestId }),
    sendToEntry(entry, {
      type: 'handBack',
      requestId,
      reason: 'draining',
      retryAfterMs: RETRY_ELSEWHERE_MS,
    }),
  );
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
    : andThen(repeatStep(next, handBackFirst), (handed) =>
        repeatStep(handed, (left) => voidFirst(context, left)),
      );
};
