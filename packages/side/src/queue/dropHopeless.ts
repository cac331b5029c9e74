import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import type { SideStep } from '../step/sideStep.js';
import type { WaitingReservation } from './waitingReservation.js';
import { getRetryAfterMs } from '../shedding/getRetryAfterMs.js';
import { repeatStep } from '../step/repeatStep.js';
import { handBack } from './handBack.js';

const isHopeless = ({ decisions, nowMs }: SideContext, waiting: WaitingReservation): boolean => {
  const { deadlineMs, latestStartMs } = waiting;
  const raisedMs = deadlineMs - latestStartMs;
  const deadlineLeftMs = deadlineMs - nowMs;
  return deadlineLeftMs <= 0 || !decisions.predictsInTime({ raisedMs, deadlineLeftMs });
};

const dropFirst = (context: SideContext, state: SideState): SideStep | undefined => {
  const first = state.queue.byLatestStart.first();
  const waiting = first && state.queue.byRequest.get(first.id);
  if (waiting === undefined || waiting.latestStartMs > context.nowMs) {
    return undefined;
  }
  if (!isHopeless(context, waiting)) {
    return undefined;
  }
  const retryAfterMs = getRetryAfterMs(state, waiting.work.tier);
  return handBack(state, waiting, { reason: 'deadlineUnreachable', retryAfterMs });
};

/** Hands back the reservations that could not be done by their deadline even if they started now. */
export const dropHopeless = (context: SideContext, state: SideState): SideStep =>
  repeatStep(state, (next) => dropFirst(context, next));
