import type { RoutingState } from '../routingState.js';

/** The version of the current configuration; 0 before the first one. */
export const getVersion = ({ index }: RoutingState): number => index?.configuration.version ?? 0;
