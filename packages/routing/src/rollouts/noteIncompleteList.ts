import type { RoutingState } from '../routingState.js';
import type { Rollout } from './rollout.js';

/** Notes since when the list has no target that an order leaves, since one reading of the list may be incomplete. */
export const noteIncompleteList = (
  { targets }: RoutingState,
  service: string,
  rollout: Rollout,
  nowMs: number,
): Rollout => {
  const { order, incompleteSinceMs, ...rest } = rollout;
  const isComplete = targets.some(
    ({ listed }) => listed.service === service && listed.version !== order?.version,
  );
  if (isComplete === (incompleteSinceMs === undefined)) {
    return rollout;
  }
  const known = order === undefined ? rest : { ...rest, order };
  return isComplete ? known : { ...known, incompleteSinceMs: nowMs };
};
