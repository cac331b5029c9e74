import type { RoutingState } from '../routingState.js';
import { isPeerHeard } from './isPeerHeard.js';

/** The entries that are heard, and this one. */
export const countEntries = (state: RoutingState, nowMs: number): number =>
  1 + [...state.peers.values()].filter((peer) => isPeerHeard(peer, nowMs)).length;
