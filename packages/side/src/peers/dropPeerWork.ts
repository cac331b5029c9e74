import type { EntryId } from '@parsleyhall/common';
import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import { declineGrant } from '../grants/declineGrant.js';
import { withdrawReservation } from '../queue/withdrawReservation.js';

/** The state without the reservations and unused grants of an entry; what was given runs on. */
export const dropPeerWork = (context: SideContext, state: SideState, entry: EntryId): SideState => {
  const peer = state.peers.get(entry);
  if (peer === undefined) {
    return state;
  }
  const withoutGrants = peer.grants.reduce(
    (next, grantId) => declineGrant(context, next, { entry, grantId }),
    state,
  );
  return peer.reservations.reduce(
    (next, requestId) => withdrawReservation(context, next, { entry, requestId }),
    withoutGrants,
  );
};
