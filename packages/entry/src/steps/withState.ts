import type { EntryState } from '../entryState.js';
import type { EntryStep } from '../entryStep.js';

/** Replaces parts of a step's state. */
export const withState = (step: EntryStep, change: Partial<EntryState>): EntryStep => ({
  state: { ...step.state, ...change },
  effects: step.effects,
});
