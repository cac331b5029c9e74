import type { EntryId, GrantId } from '@parsleyhall/common';
import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import { burnGrant } from './burnGrant.js';
import { getOutstandingGrant } from './getOutstandingGrant.js';

/** The state after an entry declined a grant: it is burnt and its reservation is dropped. */
export const declineGrant = (
  context: SideContext,
  state: SideState,
  named: { readonly entry: EntryId; readonly grantId: GrantId },
): SideState => {
  const grant = getOutstandingGrant(state.grants, named);
  return grant === undefined ? state : burnGrant(context, state, grant);
};
