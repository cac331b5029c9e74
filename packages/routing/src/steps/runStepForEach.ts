import type { RoutingState } from '../routingState.js';
import { chainStep } from './chainStep.js';
import { createStepResult } from './createStepResult.js';
import type { StepResult } from './stepResult.js';

/** Runs a step for each item in turn and collects all effects. */
export const runStepForEach = <Item>(
  state: RoutingState,
  items: Iterable<Item>,
  step: (state: RoutingState, item: Item) => StepResult,
): StepResult => {
  let result = createStepResult(state);
  for (const item of items) {
    result = chainStep(result, (current) => step(current, item));
  }
  return result;
};
