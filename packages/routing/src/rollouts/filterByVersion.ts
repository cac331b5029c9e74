import type { RoutingState } from '../routingState.js';
import type { Candidate } from '../targets/candidate.js';
import { getRunningRollout } from './getRunningRollout.js';
import { getVersionAccess } from './getVersionAccess.js';
import { limitExposedTargets } from './limitExposedTargets.js';

const isListed = (
  { targets }: RoutingState,
  service: string,
  isRegular: (version: string | undefined) => boolean,
): boolean => targets.some(({ listed }) => listed.service === service && isRegular(listed.version));

/**
 * The targets of a service that this entry may use during and after a roll-out; with `includesExposed`, also those of a
 * version that gets a part of the requests.
 */
export const filterByVersion = (
  state: RoutingState,
  service: string,
  candidates: readonly Candidate[],
  { nowMs, includesExposed }: { readonly nowMs: number; readonly includesExposed: boolean },
): readonly Candidate[] => {
  const access = getVersionAccess(state, service, nowMs);
  if (access === undefined) {
    return candidates;
  }
  const { isRegular, isFallback, exposedVersion } = access;
  const regular = candidates.filter(({ target }) => isRegular(target.listed.version));
  if (regular.length === 0 && !isListed(state, service, isRegular)) {
    return candidates.filter(({ target }) => isFallback(target.listed.version));
  }
  if (!includesExposed || exposedVersion === undefined) {
    return regular;
  }
  const exposed = candidates.filter(({ target }) => target.listed.version === exposedVersion);
  const isShifting = getRunningRollout(state, service)?.status.stage === 'shifting';
  const share = isShifting ? 1 : (state.settings.rollouts?.maxShare ?? 0);
  return [...regular, ...limitExposedTargets(exposed, share)];
};
