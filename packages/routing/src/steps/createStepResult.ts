import type { RoutingEffect } from '../routingEffect.js';
import type { RoutingState } from '../routingState.js';
import type { StepResult } from './stepResult.js';

/** Creates a step result with this state and these effects. */
export const createStepResult = (
  state: RoutingState,
  ...effects: readonly RoutingEffect[]
): StepResult => ({
  state,
  effects,
});
