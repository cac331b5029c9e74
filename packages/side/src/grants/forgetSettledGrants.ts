import type { GrantsState } from './grantsState.js';

/** The grants without the used and burnt ones whose time to be remembered is over. */
export const forgetSettledGrants = (grants: GrantsState, nowMs: number): GrantsState => {
  const first = grants.settled.first();
  if (first === undefined || first.rank > nowMs) {
    return grants;
  }
  const remaining = {
    ...grants,
    byId: grants.byId.remove(first.id),
    settled: grants.settled.without(first.rank, first.id),
  };
  return forgetSettledGrants(remaining, nowMs);
};
