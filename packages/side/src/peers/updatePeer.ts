import type { EntryId } from '@parsleyhall/common';
import type { SideState } from '../sideState.js';
import type { Peer } from './peer.js';

/** The state with a connected peer changed; as it was when the entry is not connected. */
export const updatePeer = (
  state: SideState,
  entry: EntryId,
  update: (peer: Peer) => Peer,
): SideState => {
  const peer = state.peers.get(entry);
  return peer === undefined ? state : { ...state, peers: state.peers.set(entry, update(peer)) };
};
