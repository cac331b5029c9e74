import type { RoutingState } from '../routingState.js';
import { andThen } from './andThen.js';
import { keep } from './keep.js';
import type { Outcome } from './outcome.js';

/** Runs a step for each item, one after another. */
export const forEach = <Item>(
  state: RoutingState,
  items: Iterable<Item>,
  step: (state: RoutingState, item: Item) => Outcome,
): Outcome => {
  let outcome = keep(state);
  for (const item of items) {
    outcome = andThen(outcome, (current) => step(current, item));
  }
  return outcome;
};
