import type { RoutingState } from '../routingState.js';
import type { Target } from '../targets/target.js';
import type { MemoryStatistics } from './memoryStatistics.js';
import type { TargetMemory } from './targetMemory.js';

/**
 * The memory of a target, less what is held there by the requests of all entries. Requests that a report shows and no
 * digest states yet count with the mean of their service.
 */
export const getTargetMemory = (
  { peerHeldTokens, peerInFlight }: RoutingState,
  target: Target,
  totalInFlight: number,
  {
    memoryTokens,
    reservedTokens,
    statistics,
    isOwner,
  }: {
    readonly memoryTokens: number;
    readonly reservedTokens: number;
    readonly statistics: MemoryStatistics | undefined;
    /** Whether this entry is the only one that may fill the target without the reserve. */
    readonly isOwner: (target: Target) => boolean;
  },
): TargetMemory => {
  const { listed, inFlight, heldTokens } = target;
  const knownInFlight = inFlight + (peerInFlight.get(listed.id) ?? 0);
  const unknownInFlight = Math.max(0, totalInFlight - knownInFlight);
  const unknownTokens = unknownInFlight * (statistics?.meanTokens ?? 0);
  const peerTokens = peerHeldTokens.get(listed.id) ?? 0;
  const usedTokens = heldTokens + peerTokens + unknownTokens;
  const isFillable = totalInFlight === 0 && peerTokens === 0 && isOwner(target);
  return {
    totalTokens: memoryTokens,
    freeTokens: memoryTokens - reservedTokens - usedTokens,
    isFillable,
  };
};
