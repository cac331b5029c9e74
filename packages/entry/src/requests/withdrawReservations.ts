import type { SideId } from '@parsleyhall/common';
import type { EntryStep } from '../entryStep.js';
import { sendToSide } from '../steps/sendToSide.js';
import type { TrackedRequest } from './trackedRequest.js';

/** Takes back a waiting request's reservations, but for the one at the side process named. */
export const withdrawReservations = (
  step: EntryStep,
  { request, phase }: TrackedRequest,
  except?: SideId,
): EntryStep => {
  if (phase.type !== 'waiting') {
    return step;
  }
  return phase.reservedAt
    .filter((side) => side !== except)
    .reduce(
      (current, side) =>
        sendToSide(current, side, { type: 'withdraw', requestId: request.requestId }),
      step,
    );
};
