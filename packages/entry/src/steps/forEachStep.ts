import type { EntryEffect } from '../entryEffect.js';
import type { EntryStep } from '../entryStep.js';

/** Takes a step for each item in turn; the effects are gathered in one list, since there may be many thousands. */
export const forEachStep = <Item>(
  step: EntryStep,
  items: Iterable<Item>,
  takeStep: (step: EntryStep, item: Item) => EntryStep,
): EntryStep => {
  const effects: EntryEffect[] = [...step.effects];
  let { state } = step;
  for (const item of items) {
    const taken = takeStep({ state, effects: [] }, item);
    state = taken.state;
    for (const effect of taken.effects) {
      effects.push(effect);
    }
  }
  return { state, effects };
};
