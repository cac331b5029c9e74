import type { EntryEffect } from '../entryEffect.js';
import type { EntryStep } from '../entryStep.js';

/** Adds effects to a step. */
export const emit = (step: EntryStep, ...effects: readonly EntryEffect[]): EntryStep => ({
  state: step.state,
  effects: [...step.effects, ...effects],
});
