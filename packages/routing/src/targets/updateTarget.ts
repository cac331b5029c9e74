import type { RoutingState } from '../routingState.js';
import type { Target } from './target.js';

/** Updates what is known about a target; does nothing if it is no longer listed. */
export const updateTarget = (
  state: RoutingState,
  targetId: string,
  update: (target: Target) => Target,
): RoutingState => {
  const target = state.targets.get(targetId);
  return target === undefined
    ? state
    : { ...state, targets: state.targets.set(targetId, update(target)) };
};
