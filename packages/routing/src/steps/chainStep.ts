import type { RoutingState } from '../routingState.js';
import type { StepResult } from './stepResult.js';

/** Runs a step on the state of a result and appends the step's effects to those of the result. */
export const chainStep = (
  result: StepResult,
  step: (state: RoutingState) => StepResult,
): StepResult => {
  const next = step(result.state);
  return { state: next.state, effects: [...result.effects, ...next.effects] };
};
