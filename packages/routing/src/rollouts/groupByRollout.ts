import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { RoutingState } from '../routingState.js';
import type { Candidate } from '../targets/candidate.js';
import { getRunningRollout } from './getRunningRollout.js';
import { isExposureAllowed } from './isExposureAllowed.js';

const isFree = ({ freeSlots }: Candidate): boolean => freeSlots > 0;

/**
 * The groups of targets among which one is chosen for a request, the preferred group first. There is more than one only if
 * the request may go to the version that is being rolled out.
 */
export const groupByRollout = (
  state: RoutingState,
  request: TrackedRequest,
  candidates: readonly Candidate[],
  nowMs: number,
): readonly (readonly Candidate[])[] => {
  const rollout = getRunningRollout(state, request.service);
  if (rollout === undefined || rollout.status.stage === 'leavingOld') {
    return [candidates];
  }
  const { version } = rollout.status.order;
  const exposed = candidates.filter(({ target }) => target.listed.version === version);
  const regular = candidates.filter(({ target }) => target.listed.version !== version);
  const mayBeExposed = exposed.some(isFree) && isExposureAllowed(state, request, nowMs);
  return mayBeExposed ? [exposed, regular] : [regular];
};
