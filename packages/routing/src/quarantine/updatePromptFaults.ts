import type { RoutingState } from '../routingState.js';
import type { PromptFaults } from './promptFaults.js';

/** Returns the state with some of its knowledge about prompt parts replaced. */
export const updatePromptFaults = (
  state: RoutingState,
  changes: Partial<PromptFaults>,
): RoutingState => ({ ...state, promptFaults: { ...state.promptFaults, ...changes } });
