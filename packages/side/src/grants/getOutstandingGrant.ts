import type { EntryId, GrantId } from '@parsleyhall/common';
import type { Grant } from './grant.js';
import type { GrantsState } from './grantsState.js';

/** An entry's grant that is neither used nor burnt. */
export const getOutstandingGrant = (
  grants: GrantsState,
  { grantId, entry }: { readonly grantId: GrantId; readonly entry: EntryId },
): Grant | undefined => {
  const grant = grants.byId.get(grantId);
  return grant?.status === 'outstanding' && grant.waiting.entry === entry ? grant : undefined;
};
