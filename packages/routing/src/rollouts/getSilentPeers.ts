import { isPeerAlive } from '../peers/isPeerAlive.js';
import type { Peer } from '../peers/peer.js';
import type { RoutingState } from '../routingState.js';
import { getCountedPeers } from './getCountedPeers.js';

/** The entries that count and that this one does not hear. */
export const getSilentPeers = (state: RoutingState, nowMs: number): readonly Peer[] =>
  getCountedPeers(state).filter((peer) => !isPeerAlive(peer, nowMs));
