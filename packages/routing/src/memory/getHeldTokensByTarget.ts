import type { RoutingState } from '../routingState.js';
import { getMemoryHold } from './getMemoryHold.js';
import { getMemoryTokens } from './getMemoryTokens.js';

/**
 * The tokens that this entry's requests hold at each target whose memory is limited, by target id. Memory that is kept for
 * a waiting request is included, so that other entries leave it free.
 */
export const getHeldTokensByTarget = (
  state: RoutingState,
  nowMs: number,
): Readonly<Record<string, number>> => {
  if (state.settings.isTargetMemoryLimited !== true) {
    return {};
  }
  const holds = [...state.memoryHolds.keys()].map((service) =>
    getMemoryHold(state, service, nowMs),
  );
  const limitedServices = new Set(
    state.index?.configuration.services
      .map(({ name }) => name)
      .filter((name) => getMemoryTokens(state, name) !== undefined),
  );
  return Object.fromEntries(
    [...state.targets.values()]
      .filter(({ listed }) => limitedServices.has(listed.service))
      .map(({ listed: { id }, heldTokens }): [string, number] => {
        const hold = holds.find((item) => item?.targetId === id);
        return [id, Math.ceil(heldTokens + (hold?.tokens ?? 0))];
      })
      .filter(([, tokens]) => tokens > 0),
  );
};
