import type { SideState } from '../sideState.js';
import type { SideStep } from './sideStep.js';

/** Goes on from a step's state and joins the effects of both in order. */
export const andThen = (step: SideStep, next: (state: SideState) => SideStep): SideStep => {
  const following = next(step.state);
  if (step.effects.length === 0) {
    return following;
  }
  if (following.effects.length === 0) {
    return { state: following.state, effects: step.effects };
  }
  return { state: following.state, effects: [...step.effects, ...following.effects] };
};
