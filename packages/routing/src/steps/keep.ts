import type { RoutingEffect } from '../routingEffect.js';
import type { RoutingState } from '../routingState.js';
import type { Outcome } from './outcome.js';

/** An outcome of the state with these effects. */
export const keep = (state: RoutingState, ...effects: readonly RoutingEffect[]): Outcome => ({
  state,
  effects,
});
