import { isPeerAlive } from '../peers/isPeerAlive.js';
import type { RoutingState } from '../routingState.js';
import { hasQuorum } from './hasQuorum.js';

/**
 * Whether this entry would know of a newer stage of a roll-out: it has read the status records within the lease, or hears
 * most of the entries that it knows. Only an entry that hears most of them completes a roll-out, so one hears both.
 */
export const isInTouch = (state: RoutingState, leaseMs: number, nowMs: number): boolean => {
  const { confirmedAtMs } = state.rollouts;
  const hearsOthers =
    state.peers.some((peer) => isPeerAlive(peer, nowMs)) && hasQuorum(state, nowMs);
  return confirmedAtMs !== undefined && (nowMs - confirmedAtMs < leaseMs || hearsOthers);
};
