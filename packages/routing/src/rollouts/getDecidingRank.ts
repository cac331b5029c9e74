import { isPeerAlive } from '../peers/isPeerAlive.js';
import type { RoutingState } from '../routingState.js';

/** How many other live entries that reach the store come before this one by host name. */
export const getDecidingRank = ({ peers, settings }: RoutingState, nowMs: number): number =>
  [...peers.values()].filter(
    (peer) =>
      isPeerAlive(peer, nowMs) &&
      !peer.digest.isLeaving &&
      peer.digest.rollouts?.reachesStore !== false &&
      peer.digest.host < settings.host,
  ).length;
