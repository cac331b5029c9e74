import type { HandBackReason } from '@parsleyhall/protocol';
import type { SideState } from '../sideState.js';
import type { SideStep } from '../step/sideStep.js';
import type { WaitingReservation } from './waitingReservation.js';
import { newStep } from '../step/newStep.js';
import { sendToEntry } from '../step/sendToEntry.js';
import { takeFromQueue } from './takeFromQueue.js';

/** Returns a waiting reservation to its entry; the time to come back is in milliseconds. */
export const handBack = (
  state: SideState,
  waiting: WaitingReservation,
  answer: { readonly reason: HandBackReason; readonly retryAfterMs: number },
): SideStep =>
  newStep(
    takeFromQueue(state, waiting),
    sendToEntry(waiting.entry, { type: 'handBack', requestId: waiting.requestId, ...answer }),
  );
