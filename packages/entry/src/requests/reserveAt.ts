import type { SideId } from '@parsleyhall/common';
import type { EntryScope } from '../entryScope.js';
import type { EntryStep } from '../entryStep.js';
import { sendToSide } from '../steps/sendToSide.js';
import { getReservation } from './getReservation.js';
import type { TrackedRequest } from './trackedRequest.js';

/** Sends a request's reservation to side processes. */
export const reserveAt = (
  scope: EntryScope,
  step: EntryStep,
  tracked: TrackedRequest,
  sides: readonly SideId[],
): EntryStep => {
  const reservation = getReservation(tracked, scope.nowMs);
  return sides.reduce(
    (current, side) => sendToSide(current, side, { type: 'reserve', reservation }),
    step,
  );
};
