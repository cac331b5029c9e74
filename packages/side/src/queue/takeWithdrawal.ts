import type { EntryId, RequestId } from '@parsleyhall/common';
import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import { noteDeparture } from '../shedding/noteDeparture.js';
import { withdrawReservation } from './withdrawReservation.js';

/** The state after an entry took a reservation back, because it runs elsewhere or has ended. */
export const takeWithdrawal = (
  context: SideContext,
  state: SideState,
  withdrawal: { readonly entry: EntryId; readonly requestId: RequestId },
): SideState => {
  const waiting = state.queue.byRequest.get(withdrawal.requestId);
  const withdrawn = withdrawReservation(context, state, withdrawal);
  return waiting === undefined || withdrawn === state
    ? withdrawn
    : noteDeparture(withdrawn, waiting);
};
