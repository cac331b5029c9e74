import { countEntries } from '../peers/countEntries.js';
import type { RoutingState } from '../routingState.js';
import { countRepeatsLeft } from './countRepeatsLeft.js';

/** How many more repeats a service may get from this entry now; parts of one count for none. */
export const getRepeatsLeft = (state: RoutingState, service: string, nowMs: number): number =>
  countRepeatsLeft({
    counts: state.retryCounts.get(service) ?? [],
    policy: state.settings.retries,
    entries: Math.max(countEntries(state, nowMs), state.peers.size + 1),
    nowMs,
  });
