import type { SideState } from '../sideState.js';
import type { WaitingReservation } from './waitingReservation.js';
import { updatePeer } from '../peers/updatePeer.js';
import { removeWaiting } from './removeWaiting.js';

/** The state without a reservation that waits. */
export const takeFromQueue = (state: SideState, waiting: WaitingReservation): SideState =>
  updatePeer({ ...state, queue: removeWaiting(state.queue, waiting) }, waiting.entry, (peer) => ({
    ...peer,
    reservations: peer.reservations.remove(waiting.requestId),
  }));
