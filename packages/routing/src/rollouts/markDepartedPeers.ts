import type { Peer } from '../peers/peer.js';
import type { RoutingState } from '../routingState.js';
import { hasQuorum } from './hasQuorum.js';

/** A host that has been replaced is silent for good; one that is only cut off is heard again earlier. */
const DEPARTED_AFTER_MS = 60_000;

const hasJustDeparted = (peer: Peer, nowMs: number): boolean =>
  peer.isLost && peer.isDeparted !== true && nowMs - peer.lastHeardAtMs >= DEPARTED_AFTER_MS;

/**
 * Marks entries that have been silent for long, so that hosts that were replaced do not count when roll-outs need most of
 * the entries. A smaller part of a divided group marks nobody, so that it never counts as most of them. Quotas go on
 * counting these entries, since they may be partitioned from this one and still be serving.
 */
export const markDepartedPeers = (state: RoutingState, nowMs: number): RoutingState => {
  const mayMark =
    state.settings.rollouts !== undefined &&
    state.peers.some((peer) => hasJustDeparted(peer, nowMs)) &&
    hasQuorum(state, nowMs);
  return mayMark
    ? {
        ...state,
        peers: state.peers.map((peer) =>
          hasJustDeparted(peer, nowMs) ? { ...peer, isDeparted: true } : peer,
        ),
      }
    : state;
};
