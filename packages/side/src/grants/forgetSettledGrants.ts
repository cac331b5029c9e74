import type { GrantsState } from './grantsState.js';

/** The grants without the used and burnt ones whose time to be remembered is over. */
export const forgetSettledGrants = (grants: GrantsState, nowMs: number): GrantsState => {
  let { byId, settled } = grants;
  for (let first = settled.first(); first !== undefined; first = settled.first()) {
    if (first.rank > nowMs) {
      break;
    }
    byId = byId.remove(first.id);
    settled = settled.without(first.rank, first.id);
  }
  return settled === grants.settled ? grants : { ...grants, byId, settled };
};
