import type { Reduction } from './reduction.js';

/** A pure step of a process: no clock, no timers, no randomness inside. */
export type Reducer<State, Event, Effect> = (
  state: State,
  event: Event,
) => Reduction<State, Effect>;
