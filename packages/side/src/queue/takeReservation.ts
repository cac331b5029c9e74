import type { EntryId } from '@parsleyhall/common';
import type { HandBackReason, Reservation } from '@parsleyhall/protocol';
import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import type { SideStep } from '../step/sideStep.js';
import { closeBelow } from '../shedding/closeBelow.js';
import { getRetryAfterMs } from '../shedding/getRetryAfterMs.js';
import { andThen } from '../step/andThen.js';
import { newStep } from '../step/newStep.js';
import { sendToEntry } from '../step/sendToEntry.js';
import { findRefusal } from './findRefusal.js';
import { handBack } from './handBack.js';
import { newWaiting } from './newWaiting.js';
import { putInQueue } from './putInQueue.js';

const isKnown = (context: SideContext, state: SideState, { requestId }: Reservation): boolean =>
  state.queue.byRequest.has(requestId) ||
  state.grants.byRequest.has(requestId) ||
  context.decisions.isAlreadyCalled(state.called, requestId);

const refuse = (
  state: SideState,
  entry: EntryId,
  { requestId, tier }: Pick<Reservation, 'requestId' | 'tier'>,
  reason: HandBackReason,
): SideStep => {
  const retryAfterMs = getRetryAfterMs(state, tier);
  return newStep(state, sendToEntry(entry, { type: 'handBack', requestId, reason, retryAfterMs }));
};

// A full queue keeps its higher tiers: whatever is chosen, the newcomer included, makes room.
const makeRoom = (context: SideContext, state: SideState): SideStep => {
  const victim = context.decisions.chooseShed(state.queue);
  if (victim === undefined) {
    return newStep(state);
  }
  const { tier } = victim.work;
  const retryAfterMs = getRetryAfterMs(state, tier);
  const left = handBack(state, victim, { reason: 'queueFull', retryAfterMs });
  return andThen(left, (next) => closeBelow(context, next, tier));
};

/** Puts a reservation in the queue or hands it back at once; a repeated one changes nothing. */
export const takeReservation = (
  context: SideContext,
  state: SideState,
  entry: EntryId,
  reservation: Reservation,
): SideStep => {
  if (isKnown(context, state, reservation)) {
    return newStep(state);
  }
  const refusal = findRefusal(context, state, reservation);
  if (refusal !== undefined) {
    return refuse(state, entry, reservation, refusal);
  }
  const waiting = newWaiting(context, state, entry, reservation);
  const raisedMs = waiting.deadlineMs - waiting.latestStartMs;
  const { deadlineLeftMs } = reservation;
  if (!context.decisions.predictsInTime({ raisedMs, deadlineLeftMs })) {
    return refuse(state, entry, reservation, 'deadlineUnreachable');
  }
  const queued = putInQueue(state, waiting);
  return queued.queue.byRequest.size <= context.settings.maximumWaiting
    ? newStep(queued)
    : makeRoom(context, queued);
};
