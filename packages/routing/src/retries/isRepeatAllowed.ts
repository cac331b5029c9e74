import { countEntries } from '../peers/countEntries.js';
import type { RoutingState } from '../routingState.js';
import type { Scope } from '../steps/scope.js';
import { mayRepeat } from './mayRepeat.js';

/** Whether a service may get one more repeat from this entry now. */
export const isRepeatAllowed = (
  state: RoutingState,
  service: string,
  { settings, nowMs }: Scope,
): boolean =>
  mayRepeat({
    counts: state.retryCounts.get(service) ?? [],
    policy: settings.retries,
    entries: Math.max(countEntries(state, nowMs), state.peers.size + 1),
    nowMs,
  });
