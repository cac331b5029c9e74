import type { SideEffect } from '../sideEffect.js';
import type { SideState } from '../sideState.js';
import type { SideStep } from './sideStep.js';

/** Repeats a step until it has nothing left to do; a loop, since a queue may hold many thousands. */
export const repeatStep = (
  state: SideState,
  takeStep: (state: SideState) => SideStep | undefined,
): SideStep => {
  const effects: SideEffect[] = [];
  let current = state;
  for (let step = takeStep(current); step !== undefined; step = takeStep(current)) {
    effects.push(...step.effects);
    current = step.state;
  }
  return { state: current, effects };
};
