import type { GrantId, SideId } from '@parsleyhall/common';
import type { EntryScope } from '../entryScope.js';
import type { EntryStep } from '../entryStep.js';
import { sendToSide } from '../steps/sendToSide.js';
import { storeRequest } from './storeRequest.js';
import type { TrackedRequest } from './trackedRequest.js';
import { withdrawReservations } from './withdrawReservations.js';
import { withPhase } from './withPhase.js';

/** Uses a grant: binds the request to the side process and takes its other reservations back. */
export const giveRequest = (
  scope: EntryScope,
  step: EntryStep,
  tracked: TrackedRequest,
  { side, grantId }: { readonly side: SideId; readonly grantId: GrantId },
): EntryStep => {
  const { request } = tracked;
  const withdrawn = withdrawReservations(step, tracked, side);
  const given = withPhase(scope.settings, tracked, {
    type: 'given',
    side,
    grantId,
    isAccepted: false,
  });
  return sendToSide(storeRequest(withdrawn, given), side, {
    type: 'give',
    grantId,
    requestId: request.requestId,
    call: request.call,
    deadlineLeftMs: Math.max(0, request.deadlineMs - scope.nowMs),
  });
};
