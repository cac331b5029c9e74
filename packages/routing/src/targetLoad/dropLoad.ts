import type { RoutingState } from '../routingState.js';
import { updateTarget } from '../targets/updateTarget.js';

/** Drops the load that a target has reported. */
export const dropLoad = (state: RoutingState, targetId: string): RoutingState =>
  updateTarget(state, targetId, ({ load: _load, ...target }) => target);
