import type { EntryId } from '@parsleyhall/common';
import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import { dropPeerWork } from './dropPeerWork.js';

/** The state after an entry's stream broke: what was given runs on, all else of the entry is dropped. */
export const disconnectPeer = (
  context: SideContext,
  state: SideState,
  entry: EntryId,
): SideState => {
  const dropped = dropPeerWork(context, state, entry);
  return { ...dropped, peers: dropped.peers.remove(entry) };
};
