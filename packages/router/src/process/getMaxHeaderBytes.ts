import type { RoutingState } from '@parsleyhall/routing';

/** Applies until a configuration sets another one. */
const DEFAULT_MAX_HEADER_BYTES = 16_384;

/** The size of the longest headers of a request that are accepted. */
export const getMaxHeaderBytes = ({ index }: RoutingState): number =>
  index?.configuration.limits.maxHeaderBytes ?? DEFAULT_MAX_HEADER_BYTES;
