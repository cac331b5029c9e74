import type { RoutingState } from '../routingState.js';
import { getLeaseMs } from './getLeaseMs.js';
import { getRunningRollout } from './getRunningRollout.js';
import { isInTouch } from './isInTouch.js';
import { isOrderedBack } from './isOrderedBack.js';
import { isReturn } from './isReturn.js';
import { isOrderNew } from './isOrderNew.js';
import type { Rollout } from './rollout.js';
import type { RolloutStatus } from './rolloutStatus.js';
import type { VersionAccess } from './versionAccess.js';

const isNever = (): boolean => false;
const isAny = (): boolean => true;

const NONE: VersionAccess = { isRegular: isNever, isFallback: isNever };
const UNVERSIONED: VersionAccess = {
  isRegular: (version) => version === undefined,
  isFallback: isNever,
};
const ALL: VersionAccess = { isRegular: isAny, isFallback: isNever };

const newAllBut = (excluded: string, isFallback = isNever): VersionAccess => ({
  isRegular: (version) => version !== excluded,
  isFallback,
});

const newOnly = (
  included: string,
  isFallback: VersionAccess['isFallback'] = isNever,
): VersionAccess => ({
  isRegular: (version) => version === included,
  isFallback,
});

const getByStage = (
  { stage, order: { version }, oldVersions, reason }: RolloutStatus,
  isJudgedBad: boolean,
): VersionAccess => {
  switch (stage) {
    case 'exposing':
    case 'shifting':
      return isJudgedBad ? newAllBut(version) : { ...newAllBut(version), exposedVersion: version };
    case 'leavingOld':
      // Other entries may rely on the report that this one has left the old targets.
      return isJudgedBad ? NONE : newOnly(version);
    case 'completed':
      // The old targets may have stopped, although they are still listed.
      return newOnly(version, (other) => oldVersions?.includes(other ?? '') === false);
    case 'rolledBack':
      // A version that was not judged bad may be the only one that is left.
      return newAllBut(version, reason === 'badVersion' ? isNever : isAny);
  }
};

const getByRollout = (rollout: Rollout): VersionAccess => {
  const { order, status, isJudgedBad } = rollout;
  if (status === undefined) {
    return order === undefined ? ALL : newAllBut(order.version, isAny);
  }
  const access = getByStage(status, isJudgedBad);
  const { rejectedVersion } = status;
  const isNew = order !== undefined && isOrderNew(rollout) && !isOrderedBack(order, status);
  const newVersion = isNew ? order.version : undefined;
  const isExcluded = (version: string | undefined): boolean =>
    version !== undefined && (version === rejectedVersion || version === newVersion);
  return {
    ...access,
    isRegular: (version) => !isExcluded(version) && access.isRegular(version),
  };
};

/** Without knowledge of new orders, versions that were not in use before get nothing. */
const keepVersions = (
  { rollouts }: RoutingState,
  service: string,
  access: VersionAccess,
): VersionAccess => {
  const kept = rollouts.keptVersions?.get(service);
  return kept === undefined
    ? access
    : {
        ...access,
        isRegular: (version) =>
          (version === undefined || kept.has(version)) && access.isRegular(version),
      };
};

/**
 * The versions of a service's targets that this entry may use now; undefined if the deployment has no roll-outs. An entry
 * that cannot know whether the old targets of a roll-out under way have stopped uses none.
 */
export const getVersionAccess = (
  state: RoutingState,
  service: string,
  nowMs: number,
): VersionAccess | undefined => {
  const { settings, rollouts } = state;
  if (settings.rollouts === undefined) {
    return undefined;
  }
  if (rollouts.confirmedAtMs === undefined) {
    return UNVERSIONED;
  }
  const rollout = rollouts.byService.get(service);
  const access = rollout === undefined ? ALL : getByRollout(rollout);
  if (isInTouch(state, getLeaseMs(state), nowMs)) {
    return access;
  }
  const running = getRunningRollout(state, service);
  return running === undefined || isReturn(running.status)
    ? keepVersions(state, service, access)
    : NONE;
};
