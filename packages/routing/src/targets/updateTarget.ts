import type { RoutingState } from '../routingState.js';
import type { Target } from './target.js';

/** Changes what is known of a target; one that is not listed any more is left out. */
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
