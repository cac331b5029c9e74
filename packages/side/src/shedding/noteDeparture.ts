import type { SideState } from '../sideState.js';
import type { WaitingReservation } from '../queue/waitingReservation.js';

/** The state after a reservation left the queue because it runs here or elsewhere. */
export const noteDeparture = (state: SideState, waiting: WaitingReservation): SideState => ({
  ...state,
  drain: { ...state.drain, departedMs: state.drain.departedMs + waiting.workMs },
});
