import type { RoutingState } from '../routingState.js';
import { getMemoryTokens } from './getMemoryTokens.js';
import { PRIOR_SHARE } from './priorShare.js';

/** The tokens that a request of a service holds on average; undefined if the memory of its targets is not limited. */
export const getMeanHeldTokens = (state: RoutingState, service: string): number | undefined => {
  const memoryTokens = getMemoryTokens(state, service);
  return memoryTokens === undefined
    ? undefined
    : (state.memoryStatistics.get(service)?.meanTokens ?? PRIOR_SHARE * memoryTokens);
};
