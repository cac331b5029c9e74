import type { EntryState } from '../entryState.js';
import type { TrackedRequest } from './trackedRequest.js';

/** The waiting request of the lowest tier in the same pool, if its tier is below this one's. */
export const findLowerTierVictim = (
  state: EntryState,
  tracked: TrackedRequest,
): TrackedRequest | undefined => {
  const lowest = state.pools.get(tracked.request.pool)?.waiting.first();
  const victim = lowest === undefined ? undefined : state.requests.get(lowest.id);
  return victim !== undefined && victim.request.tier > tracked.request.tier ? victim : undefined;
};
