import type { ArrivedRequest } from '../arrivedRequest.js';
import type { EntryScope } from '../entryScope.js';
import type { EntryState } from '../entryState.js';
import { doesLowerTierWait } from './doesLowerTierWait.js';

/**
 * True while a request's tier is held back because a higher one was lately shed from its pool. Where a still lower tier
 * waits elsewhere, that one has to be given up first.
 */
export const isHeldBack = (
  scope: EntryScope,
  state: EntryState,
  request: ArrivedRequest,
): boolean => {
  const pool = state.pools.get(request.pool);
  const isBelowHold =
    pool !== undefined &&
    scope.nowMs < pool.shedHoldUntilMs &&
    request.tier > pool.lowestTierAdmitted;
  const isLowerTierFirst = (): boolean =>
    scope.decisions.shedsLowerTierElsewhereFirst(request) && doesLowerTierWait(state, request);
  return isBelowHold && !isLowerTierFirst();
};
