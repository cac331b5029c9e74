import type { RoutingState } from '../routingState.js';
import type { StepContext } from '../steps/stepContext.js';
import { confirmConfiguration } from './confirmConfiguration.js';

/** Applies the latest confirmation if it had to wait for news of other entries or for a newer version. */
export const applyUnusedConfirmation = (state: RoutingState, context: StepContext): RoutingState =>
  state.unusedConfirmation === undefined
    ? state
    : confirmConfiguration(state, state.unusedConfirmation, context);
