import type { RoutingState } from '../routingState.js';

const MAX_REMEMBERED = 2;

/** Remembers what targets hold now, and what they held when the digest before was sent. */
export const rememberMemoryUse = (state: RoutingState): RoutingState => {
  if (state.settings.isTargetMemoryLimited !== true) {
    return state;
  }
  const { targets, peerHeldTokens, recentMemoryUses } = state;
  const uses = [{ targets, peerHeldTokens }, ...recentMemoryUses];
  return { ...state, recentMemoryUses: uses.slice(0, MAX_REMEMBERED) };
};
