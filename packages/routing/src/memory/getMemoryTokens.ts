import type { RoutingState } from '../routingState.js';

/**
 * The tokens that the requests at one target of a service may hold together before it crashes; undefined if the service
 * has no such limit, or targets do not crash this way.
 */
export const getMemoryTokens = (
  { settings, index }: RoutingState,
  service: string,
): number | undefined =>
  settings.isTargetMemoryLimited === true
    ? index?.configuration.services.find(({ name }) => name === service)?.memoryTokens
    : undefined;
