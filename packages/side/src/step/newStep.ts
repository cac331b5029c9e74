import type { SideEffect } from '../sideEffect.js';
import type { SideState } from '../sideState.js';
import type { SideStep } from './sideStep.js';

/** A step that ends in the state with the effects. */
export const newStep = (state: SideState, ...effects: readonly SideEffect[]): SideStep => ({
  state,
  effects,
});
