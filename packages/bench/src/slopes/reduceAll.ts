import type { Reducer } from '@parsleyhall/common';

/** The state after a sequence of events. */
export const reduceAll = <State, Event, Effect>(
  reduce: Reducer<State, Event, Effect>,
  state: State,
  events: Iterable<Event>,
): State => {
  let next = state;
  for (const event of events) {
    next = reduce(next, event).state;
  }
  return next;
};
