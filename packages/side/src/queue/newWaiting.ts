import type { EntryId } from '@parsleyhall/common';
import type { Reservation } from '@parsleyhall/protocol';
import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import type { WaitingReservation } from './waitingReservation.js';
import { estimateDecodeTokens } from '../estimates/estimateDecodeTokens.js';
import { estimateWorkMs } from '../estimates/estimateWorkMs.js';
import { predictOnIdle } from '../estimates/predictOnIdle.js';
import { newWork } from './newWork.js';

/** A reservation as it waits here, with its times on this process's clock and its estimates. */
export const newWaiting = (
  context: SideContext,
  state: SideState,
  entry: EntryId,
  reservation: Reservation,
): WaitingReservation => {
  const { nowMs, settings, decisions } = context;
  const work = newWork(reservation, settings.longPrefillTokens);
  const deadlineMs = nowMs + reservation.deadlineLeftMs;
  const raisedMs = decisions.raisePrediction(predictOnIdle(context, state, work));
  return {
    requestId: reservation.requestId,
    entry,
    work,
    arrivedAtMs: nowMs,
    deadlineMs,
    latestStartMs: Math.floor(deadlineMs - raisedMs),
    tokens: work.prefillTokens + estimateDecodeTokens(state.estimates, work),
    workMs: estimateWorkMs(context, state, work),
    expiredGrants: 0,
  };
};
