import type { RoutingState } from '../routingState.js';
import { isPeerAlive } from './isPeerAlive.js';

/** The number of entries that are alive, this one included. */
export const countLiveEntries = (state: RoutingState, nowMs: number): number =>
  1 + [...state.peers.values()].filter((peer) => isPeerAlive(peer, nowMs)).length;
