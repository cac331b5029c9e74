import type { EntryId } from '@parsleyhall/common';
import type { HandBackReason, Reservation } from '@parsleyhall/protocol';
import { getPresetInForce } from '@parsleyhall/configuration';
import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import type { SideStep } from '../step/sideStep.js';
import type { WaitingReservation } from './waitingReservation.js';
import { newStep } from '../step/newStep.js';
import { sendToEntry } from '../step/sendToEntry.js';
import { newWork } from './newWork.js';
import { putInQueue } from './putInQueue.js';

const RETRY_AFTER_REFUSAL_MS = 1_000;

const isOwnModel = ({ settings }: SideContext, { model }: Reservation): boolean =>
  settings.kind === 'service' || settings.models.includes(model);

const findRefusal = (
  context: SideContext,
  state: SideState,
  reservation: Reservation,
): HandBackReason | undefined => {
  const preset = getPresetInForce(state.configuration);
  if (!context.decisions.acceptsNewWork(state.leaving)) {
    return 'draining';
  }
  if (preset === undefined) {
    return 'noConfiguration';
  }
  if (reservation.pool !== context.settings.pool || !isOwnModel(context, reservation)) {
    return 'wrongPool';
  }
  if (reservation.tier > preset.lowestTierAdmitted) {
    return 'shed';
  }
  return undefined;
};

const newWaiting = (
  { settings, nowMs }: SideContext,
  entry: EntryId,
  reservation: Reservation,
): WaitingReservation => {
  const deadlineMs = nowMs + reservation.deadlineLeftMs;
  const { firstTokenLeftMs } = reservation;
  return {
    requestId: reservation.requestId,
    entry,
    work: newWork(reservation, settings.longPrefillTokens),
    arrivedAtMs: nowMs,
    deadlineMs,
    firstTokenByMs: firstTokenLeftMs === undefined ? undefined : nowMs + firstTokenLeftMs,
    latestStartMs: deadlineMs,
    tokens: reservation.prefillTokens + reservation.decodeTokens,
    expiredGrants: 0,
  };
};

const isKnown = (context: SideContext, state: SideState, { requestId }: Reservation): boolean =>
  state.queue.byRequest.has(requestId) ||
  state.grants.byRequest.has(requestId) ||
  context.decisions.isAlreadyCalled(state.called, requestId);

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
  const reason = findRefusal(context, state, reservation);
  if (reason !== undefined) {
    const { requestId } = reservation;
    const retryAfterMs = RETRY_AFTER_REFUSAL_MS;
    return newStep(
      state,
      sendToEntry(entry, { type: 'handBack', requestId, reason, retryAfterMs }),
    );
  }
  return newStep(putInQueue(state, newWaiting(context, entry, reservation)));
};
