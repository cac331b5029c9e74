import type { Refusal } from '../requests/refusal.js';
import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { RoutingState } from '../routingState.js';
import { getMemoryTokens } from './getMemoryTokens.js';

/** The refusal of a request that no target of its service can hold; undefined if one can. */
export const getTooLargeRefusal = (
  state: RoutingState,
  { service, heldTokens }: TrackedRequest,
): Refusal | undefined =>
  heldTokens > (getMemoryTokens(state, service) ?? Infinity)
    ? { status: 503, reason: 'exceedsMemory' }
    : undefined;
