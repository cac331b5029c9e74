import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import type { SideStep } from '../step/sideStep.js';
import { andThen } from '../step/andThen.js';
import { newStep } from '../step/newStep.js';
import { handBack } from './handBack.js';

/** Hands back the reservations whose deadline has passed. */
export const dropPastDeadline = (context: SideContext, state: SideState): SideStep => {
  const first = state.queue.byDeadline.first();
  const waiting = first && state.queue.byRequest.get(first.id);
  if (waiting === undefined || waiting.deadlineMs > context.nowMs) {
    return newStep(state);
  }
  return andThen(
    handBack(state, waiting, { reason: 'deadlineUnreachable', retryAfterMs: 0 }),
    (next) => dropPastDeadline(context, next),
  );
};
