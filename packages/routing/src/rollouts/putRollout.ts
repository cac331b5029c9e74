import type { RoutingState } from '../routingState.js';
import type { Rollout } from './rollout.js';

/** Replaces what is known of a service's roll-out. */
export const putRollout = (
  state: RoutingState,
  service: string,
  rollout: Rollout,
): RoutingState => ({
  ...state,
  rollouts: { ...state.rollouts, byService: state.rollouts.byService.set(service, rollout) },
});
