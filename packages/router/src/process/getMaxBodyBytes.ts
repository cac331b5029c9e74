import type { RoutingState } from '@parsleyhall/routing';

/** Applies until a configuration sets another one. */
const DEFAULT_MAX_BODY_BYTES = 4_194_304;

/** The size of the longest body of a request that is accepted. */
export const getMaxBodyBytes = ({ index }: RoutingState): number =>
  index?.configuration.limits.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES;
