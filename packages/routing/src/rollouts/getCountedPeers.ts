import type { Peer } from '../peers/peer.js';
import type { RoutingState } from '../routingState.js';

/** The other entries that count when roll-outs need most of the entries: without those that leave or have departed. */
export const getCountedPeers = ({ peers }: RoutingState): readonly Peer[] =>
  [...peers.values()].filter(({ digest, isDeparted }) => !digest.isLeaving && isDeparted !== true);
