import type { RoutingState } from '../routingState.js';
import { getSpread } from '../targetLoad/getSpread.js';
import type { Target } from '../targets/target.js';
import { createOwnerCheck } from './createOwnerCheck.js';
import { getMemoryTokens } from './getMemoryTokens.js';
import { getReservedTokens } from './getReservedTokens.js';
import { getTargetMemory } from './getTargetMemory.js';
import type { TargetMemory } from './targetMemory.js';
import { getUnheardSendsPerTarget } from './getUnheardSendsPerTarget.js';

interface MemoryView {
  readonly memory: TargetMemory;
  /** Mean number of further requests for which there is memory; may be negative. */
  readonly freeRequests: number;
  /** The mean raise of its predicted cost by its free memory. */
  readonly spread: number;
}

/** Creates a function that computes the free memory of a target; undefined if the service's memory is not limited. */
export const createMemoryView = (
  state: RoutingState,
  service: string,
  load: { readonly unheardSends: number; readonly targetCount: number; readonly nowMs: number },
): ((target: Target, totalInFlight: number) => MemoryView) | undefined => {
  const memoryTokens = getMemoryTokens(state, service);
  if (memoryTokens === undefined) {
    return undefined;
  }
  const statistics = state.memoryStatistics.get(service);
  const unheardSendsPerTarget =
    statistics === undefined ? 0 : getUnheardSendsPerTarget(state, statistics, load);
  const reservedTokens = getReservedTokens(memoryTokens, statistics, unheardSendsPerTarget);
  const isOwner = createOwnerCheck(state, load.nowMs);
  const limits = { memoryTokens, reservedTokens, statistics, isOwner };
  const meanTokens = Math.max(1, statistics?.meanTokens ?? 1);
  return (target, totalInFlight) => {
    const memory = getTargetMemory(state, target, totalInFlight, limits);
    const freeRequests = memory.freeTokens / meanTokens;
    return { memory, freeRequests, spread: getSpread(freeRequests, load.unheardSends) };
  };
};
