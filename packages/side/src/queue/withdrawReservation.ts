import type { EntryId, RequestId } from '@parsleyhall/common';
import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import { declineGrant } from '../grants/declineGrant.js';
import { takeFromQueue } from './takeFromQueue.js';

/** The state without an entry's reservation, waiting or granted. */
export const withdrawReservation = (
  context: SideContext,
  state: SideState,
  { entry, requestId }: { readonly entry: EntryId; readonly requestId: RequestId },
): SideState => {
  const waiting = state.queue.byRequest.get(requestId);
  if (waiting?.entry === entry) {
    return takeFromQueue(state, waiting);
  }
  const grantId = state.grants.byRequest.get(requestId);
  return grantId === undefined ? state : declineGrant(context, state, { entry, grantId });
};
