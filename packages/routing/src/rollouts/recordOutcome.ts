import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { RoutingState } from '../routingState.js';
import { getLatencyModel } from '../targets/getLatencyModel.js';
import { addOldSample } from './addOldSample.js';
import { getKindKey } from './getKindKey.js';
import { getResponseTimes } from './getResponseTimes.js';
import { getRunningRollout } from './getRunningRollout.js';
import { isSlowResponse } from './isSlowResponse.js';
import { newRequestKind } from './newRequestKind.js';
import type { OutcomeCounts } from './outcomeCounts.js';
import { putRollout } from './putRollout.js';

const FIRST_SERVER_ERROR_STATUS = 500;

/** How the current send of a request ended; `abandoned` if the caller left, `underWay` if it has not ended. */
type Ending = 'answered' | 'failed' | 'abandoned' | 'underWay';

const countResponse = (counts: OutcomeCounts, isNew: boolean, isBad: boolean): OutcomeCounts => {
  const bad = isBad ? 1 : 0;
  return isNew
    ? { ...counts, newResponses: counts.newResponses + 1, newBad: counts.newBad + bad }
    : { ...counts, oldResponses: counts.oldResponses + 1, oldBad: counts.oldBad + bad };
};

/** Counts a response during a roll-out. One that is not complete counts only if it is already slow. */
export const recordOutcome = (
  state: RoutingState,
  request: TrackedRequest,
  ending: Ending,
  nowMs: number,
): RoutingState => {
  const rollout = getRunningRollout(state, request.service);
  const { send } = request;
  if (rollout === undefined || send?.isOutcomeCounted !== undefined) {
    return state;
  }
  const times = getResponseTimes(request, getLatencyModel(state, request.service), nowMs);
  if (times === undefined) {
    return state;
  }
  const key = getKindKey(rollout, request);
  const kind = rollout.kinds.get(key) ?? newRequestKind();
  const isSlow = isSlowResponse(kind, times);
  if (!isSlow && (ending === 'abandoned' || ending === 'underWay')) {
    return state;
  }
  const isError = ending === 'failed' || (send?.status ?? 0) >= FIRST_SERVER_ERROR_STATUS;
  const isNew = send?.targetVersion === rollout.status.order.version;
  const counted = { ...kind, counts: countResponse(kind.counts, isNew, isSlow || isError) };
  const isSample = !isNew && ending === 'answered' && !isError;
  return putRollout(state, request.service, {
    ...rollout,
    kinds: rollout.kinds.set(key, isSample ? addOldSample(counted, times) : counted),
  });
};
