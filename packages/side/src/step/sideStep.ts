import type { Reduction } from '@parsleyhall/common';
import type { SideEffect } from '../sideEffect.js';
import type { SideState } from '../sideState.js';

/** The outcome of a part of a step: the next state and the effects so far. */
export type SideStep = Reduction<SideState, SideEffect>;
