import type { RoutingState } from '../routingState.js';
import type { Scope } from '../steps/scope.js';
import { countSend } from './countSend.js';

/** Counts a request, or a repeat, of a service. */
export const noteSend = (
  state: RoutingState,
  service: string,
  what: 'request' | 'repeat',
  { settings, nowMs }: Scope,
): RoutingState => ({
  ...state,
  retryCounts: state.retryCounts.set(
    service,
    countSend({
      counts: state.retryCounts.get(service) ?? [],
      what,
      nowMs,
      windowMs: settings.retries.windowMs,
    }),
  ),
});
