import type { RoutingState } from '../routingState.js';

/** The version of the configuration in force; 0 before the first. */
export const getVersion = ({ index }: RoutingState): number => index?.configuration.version ?? 0;
