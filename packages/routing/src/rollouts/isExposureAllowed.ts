import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { RoutingState } from '../routingState.js';
import { getKindKey } from './getKindKey.js';
import { getRunningRollout } from './getRunningRollout.js';

/** The part of the bound that is used, since requests may be counted differently at the targets. */
const USED_SHARE = 0.8;
/** The part of the slack that all entries together use; the rest is for entries that start again. */
const USED_SLACK = 0.4;
/** Before this time an entry does not know how many others there are. */
const PEERS_KNOWN_AFTER_MS = 2_000;

const getSlackPart = ({ settings, peers, startedAtMs }: RoutingState, nowMs: number): number =>
  nowMs - startedAtMs < PEERS_KNOWN_AFTER_MS
    ? 0
    : (USED_SLACK * (settings.rollouts?.extraSends ?? 0)) / (peers.size + 1);

/**
 * Whether this entry may send the request to the version that is being rolled out. The share is of the requests that the
 * entry itself has sent, so that the bound holds for all entries together without their knowing of one another. Each kind of
 * request may have one send more than its share, so that rare ones are tried as well.
 */
export const isExposureAllowed = (
  state: RoutingState,
  request: TrackedRequest,
  nowMs: number,
): boolean => {
  const policy = state.settings.rollouts;
  const rollout = getRunningRollout(state, request.service);
  if (policy === undefined || rollout === undefined || request.triedTargetIds.length > 0) {
    return false;
  }
  if (rollout.status.stage === 'shifting') {
    return request.requestId % 2 === 0;
  }
  const share = USED_SHARE * policy.maxShare;
  const slack = getSlackPart(state, nowMs);
  if (rollout.exposed + 1 > share * rollout.requests + slack) {
    return false;
  }
  const kind = rollout.kinds.get(getKindKey(rollout, request));
  const { requests, exposed } = kind ?? { requests: 0, exposed: 0 };
  const slackOfKind = Math.max(1, (slack * requests) / Math.max(1, rollout.requests));
  return exposed + 1 <= share * requests + slackOfKind;
};
