import type { RoutingState } from '../routingState.js';
import type { RolloutOrder } from './rolloutOrder.js';

/** Requests of this entry in flight at targets of the service that do not have the ordered version. */
export const countOldInFlight = (
  { requests }: RoutingState,
  { service, version }: RolloutOrder,
): number =>
  requests.count(
    ({ send, service: served }) =>
      served === service && send !== undefined && send.targetVersion !== version,
  );
