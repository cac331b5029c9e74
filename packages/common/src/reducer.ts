import type { Reduction } from './reduction.js';

/** A pure function from a state and an event to the next state and effects; uses no clock, timers or randomness. */
export type Reducer<State, Event, Effect> = (
  state: State,
  event: Event,
) => Reduction<State, Effect>;
