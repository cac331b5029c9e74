import type { RoutingState } from '../routingState.js';
import { forEach } from '../steps/forEach.js';
import { keep } from '../steps/keep.js';
import type { Outcome } from '../steps/outcome.js';
import { isPeerHeard } from './isPeerHeard.js';

/** Tells once of each other entry that is not heard any more. */
export const noteLostPeers = (state: RoutingState, nowMs: number): Outcome =>
  forEach(state, state.peers, (current, [host, peer]) => {
    if (peer.isLost || isPeerHeard(peer, nowMs)) {
      return keep(current);
    }
    const silentMs = Math.round(nowMs - peer.heardMs);
    return keep(
      { ...current, peers: current.peers.set(host, { ...peer, isLost: true }) },
      { type: 'observe', name: 'peerLost', fields: { peer: host, silentMs } },
    );
  });
