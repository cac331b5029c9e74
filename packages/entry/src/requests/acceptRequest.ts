import { getPresetInForce } from '@parsleyhall/configuration';
import type { ArrivedRequest } from '../arrivedRequest.js';
import type { EntryScope } from '../entryScope.js';
import type { EntryStep } from '../entryStep.js';
import { admitRequest } from './admitRequest.js';
import { failRequest } from './failRequest.js';
import { getArrivalRefusal } from './getArrivalRefusal.js';
import { newTrackedRequest } from './newTrackedRequest.js';
import { makeRoom } from './makeRoom.js';
import { shedRequest } from './shedRequest.js';
import { applyTeamLimits } from '../teams/applyTeamLimits.js';
import { updateLongPrefillShare } from '../pools/updateLongPrefillShare.js';

const REFUSED_RETRY_AFTER_MS = 1_000;

/** Takes in a caller's request: refuses it with its final answer, or starts its claim or its reservations. */
export const acceptRequest = (
  scope: EntryScope,
  step: EntryStep,
  request: ArrivedRequest,
): EntryStep => {
  const tracked = newTrackedRequest(scope, request, step.state.arrivals);
  const counted: EntryStep = {
    state: updateLongPrefillShare(
      { ...step.state, arrivals: step.state.arrivals + 1 },
      request,
      scope.settings.longPrefillTokens,
    ),
    effects: step.effects,
  };
  const refusal = getArrivalRefusal(scope, counted.state, request);
  if (refusal === 'shed') {
    return shedRequest(scope, counted, tracked);
  }
  const preset = getPresetInForce(counted.state.configuration);
  if (refusal !== undefined || preset === undefined) {
    return failRequest(scope, counted, tracked, {
      type: 'notRun',
      reason: refusal ?? 'noConfiguration',
      retryAfterMs: REFUSED_RETRY_AFTER_MS,
    });
  }
  const verdict = applyTeamLimits({
    preset,
    usage: counted.state.teams.get(request.team),
    request,
    entries: counted.state.liveEntries,
    nowMs: scope.nowMs,
  });
  if (verdict.type === 'over') {
    return failRequest(scope, counted, tracked, {
      type: 'notRun',
      reason: 'teamLimit',
      retryAfterMs: verdict.retryAfterMs,
    });
  }
  const charged: EntryStep = {
    state: { ...counted.state, teams: counted.state.teams.set(request.team, verdict.usage) },
    effects: counted.effects,
  };
  const room = makeRoom(scope, charged, tracked);
  return room.hasRoom
    ? admitRequest(scope, room.step, tracked)
    : shedRequest(scope, room.step, tracked);
};
