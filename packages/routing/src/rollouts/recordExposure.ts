import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { RoutingState } from '../routingState.js';
import { getKindKey } from './getKindKey.js';
import { getRunningRollout } from './getRunningRollout.js';
import { newRequestKind } from './newRequestKind.js';
import { putRollout } from './putRollout.js';

/** Counts a send during a roll-out; `version` is that of the target. A retry does not count as a further request. */
export const recordExposure = (
  state: RoutingState,
  request: TrackedRequest,
  version: string | undefined,
): RoutingState => {
  const rollout = getRunningRollout(state, request.service);
  if (rollout === undefined) {
    return state;
  }
  const requests = request.sends === 0 ? 1 : 0;
  const exposed = version === rollout.status.order.version ? 1 : 0;
  const key = getKindKey(rollout, request);
  const kind = rollout.kinds.get(key) ?? newRequestKind();
  return putRollout(state, request.service, {
    ...rollout,
    requests: rollout.requests + requests,
    exposed: rollout.exposed + exposed,
    kinds: rollout.kinds.set(key, {
      ...kind,
      requests: kind.requests + requests,
      exposed: kind.exposed + exposed,
    }),
  });
};
