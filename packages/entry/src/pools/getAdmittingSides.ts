import type { ArrivedRequest } from '../arrivedRequest.js';
import type { EntryState } from '../entryState.js';
import type { SideLink } from '../sides/sideLink.js';
import { getUsableSides } from './getUsableSides.js';

/** The usable side processes of a request's pool that admit its tier under their present load. */
export const getAdmittingSides = (
  state: EntryState,
  request: ArrivedRequest,
): readonly SideLink[] =>
  getUsableSides(state, request).filter(
    ({ digest }) => digest === undefined || digest.lowestTierAdmitted >= request.tier,
  );
