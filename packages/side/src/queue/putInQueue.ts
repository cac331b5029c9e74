import type { SideState } from '../sideState.js';
import type { WaitingReservation } from './waitingReservation.js';
import { updatePeer } from '../peers/updatePeer.js';
import { addWaiting } from './addWaiting.js';

/** The state with a reservation waiting. */
export const putInQueue = (state: SideState, waiting: WaitingReservation): SideState =>
  updatePeer({ ...state, queue: addWaiting(state.queue, waiting) }, waiting.entry, (peer) => ({
    ...peer,
    reservations: peer.reservations.add(waiting.requestId),
  }));
