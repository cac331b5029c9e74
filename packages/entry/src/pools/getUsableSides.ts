import type { EntryState } from '../entryState.js';
import type { ArrivedRequest } from '../arrivedRequest.js';
import { isUsableSide } from '../sides/isUsableSide.js';
import type { SideLink } from '../sides/sideLink.js';

/** The side processes of a request's pool that may get new work and have its model. */
export const getUsableSides = (state: EntryState, request: ArrivedRequest): readonly SideLink[] => {
  const sides = state.pools.get(request.pool)?.sides ?? [];
  return sides
    .map((side) => state.sides.get(side))
    .filter((link) => link !== undefined)
    .filter((link) => isUsableSide(state.configuration, link))
    .filter(
      ({ greeting }) => greeting?.models.length === 0 || greeting?.models.includes(request.model),
    );
};
