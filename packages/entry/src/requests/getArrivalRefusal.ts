import { getPresetInForce } from '@parsleyhall/configuration';
import type { NotRunReason } from '@parsleyhall/protocol';
import type { ArrivedRequest } from '../arrivedRequest.js';
import type { EntryScope } from '../entryScope.js';
import type { EntryState } from '../entryState.js';
import { isHeldBack } from '../pools/isHeldBack.js';

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
  return isHeldBack(scope, state, request) ? 'shed' : undefined;
};
