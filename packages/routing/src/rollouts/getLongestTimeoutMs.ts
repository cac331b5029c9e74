import type { RoutingState } from '../routingState.js';

/** The longest time that a request to a service may take, in milliseconds. */
export const getLongestTimeoutMs = ({ index }: RoutingState, service: string): number =>
  (index?.configuration.routes ?? [])
    .filter(({ destinations }) =>
      destinations.some((destination) => destination.service === service),
    )
    .reduce((longest, { timeoutMs }) => Math.max(longest, timeoutMs), 0);
