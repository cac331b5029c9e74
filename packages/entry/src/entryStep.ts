import type { Reduction } from '@parsleyhall/common';
import type { EntryEffect } from './entryEffect.js';
import type { EntryState } from './entryState.js';

/** A reduction under way: the state so far and the effects so far. */
export type EntryStep = Reduction<EntryState, EntryEffect>;
