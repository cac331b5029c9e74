import { getPresetInForce } from '@parsleyhall/configuration';
import type { NotRunReason } from '@parsleyhall/protocol';
import type { ArrivedRequest } from '../arrivedRequest.js';
import type { EntryScope } from '../entryScope.js';
import type { EntryState } from '../entryState.js';
import { doesLowerTierWait } from '../pools/doesLowerTierWait.js';

/** Why a request is refused on arrival, whatever the load of the targets; undefined when it is not. */
export const getArrivalRefusal = (
  scope: EntryScope,
  state: EntryState,
  request: ArrivedRequest,
): NotRunReason | undefined => {
  const preset = getPresetInForce(state.configuration);
  if (preset === undefined) {
    return 'noConfiguration';
  }
  if (state.isStopping) {
    return 'draining';
  }
  if (scope.nowMs >= request.deadlineMs) {
    return 'deadlineExceeded';
  }
  if (request.tier > preset.lowestTierAdmitted) {
    return 'shed';
  }
  const pool = state.pools.get(request.pool);
  const isHeldBack =
    pool !== undefined &&
    scope.nowMs < pool.shedHoldUntilMs &&
    request.tier > pool.lowestTierAdmitted;
  const isLowerTierFirst =
    scope.decisions.shedsLowerTierElsewhereFirst(request) && doesLowerTierWait(state, request);
  return isHeldBack && !isLowerTierFirst ? 'shed' : undefined;
};
