import type { RoutingState } from '../routingState.js';
import { areOldTargetsLeft } from './areOldTargetsLeft.js';
import { getRunningRollout } from './getRunningRollout.js';
import { isOrderNew } from './isOrderNew.js';
import { isReturn } from './isReturn.js';
import type { Rollout } from './rollout.js';
import type { RolloutFacts } from './rolloutFacts.js';

/** What the next step of a service's roll-out depends on now. */
export const getRolloutFacts = (
  state: RoutingState,
  service: string,
  rollout: Rollout,
  verdict: RolloutFacts['verdict'],
  nowMs: number,
): RolloutFacts => {
  const running = getRunningRollout(state, service);
  const isNew = running === undefined || (isReturn(running.status) && isOrderNew(rollout));
  const version = (isNew ? rollout.order : running.status.order)?.version;
  const targets = [...state.targets.values()].filter(({ listed }) => listed.service === service);
  const newTargets = targets.filter(({ listed }) => listed.version === version).length;
  return {
    ageMs: nowMs - rollout.startedAtMs,
    stageAgeMs: nowMs - rollout.stageSinceMs,
    verdict,
    newTargets,
    oldTargets: targets.length - newTargets,
    incompleteMs: nowMs - (rollout.incompleteSinceMs ?? nowMs),
    isServiceKnown:
      targets.length > 0 ||
      state.index === undefined ||
      state.index.configuration.services.some(({ name }) => name === service),
    areOldTargetsLeft: running !== undefined && areOldTargetsLeft(state, running, nowMs),
  };
};
