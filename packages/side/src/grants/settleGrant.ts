import type { Grant } from './grant.js';
import type { GrantsState } from './grantsState.js';

/** The grants after an outstanding one was used or burnt. */
export const settleGrant = (
  grants: GrantsState,
  grant: Grant,
  end: { readonly status: 'used' | 'burnt'; readonly forgetAtMs: number },
): GrantsState => ({
  ...grants,
  byId: grants.byId.set(grant.grantId, { ...grant, status: end.status }),
  byRequest: grants.byRequest.remove(grant.waiting.requestId),
  byExpiry: grants.byExpiry.without(grant.expiresAtMs, grant.grantId),
  settled: grants.settled.with(end.forgetAtMs, grant.grantId),
});
