import type { SideId } from '@parsleyhall/common';
import type { EntryStep } from '../entryStep.js';
import type { SideLink } from './sideLink.js';

/** Replaces parts of what is known of a side process. */
export const updateLink = (step: EntryStep, side: SideId, change: Partial<SideLink>): EntryStep => {
  const link = step.state.sides.get(side);
  return link === undefined
    ? step
    : {
        state: { ...step.state, sides: step.state.sides.set(side, { ...link, ...change }) },
        effects: step.effects,
      };
};
