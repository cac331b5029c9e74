import type { RoutingState } from '../routingState.js';
import type { Outcome } from './outcome.js';

/** Goes on from an outcome; its effects come first. */
export const andThen = (outcome: Outcome, step: (state: RoutingState) => Outcome): Outcome => {
  const next = step(outcome.state);
  return { state: next.state, effects: [...outcome.effects, ...next.effects] };
};
