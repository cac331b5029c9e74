import type { RoutingState } from '../routingState.js';
import { getUnheardSends } from '../targetLoad/getUnheardSends.js';
import { getMemoryTokens } from './getMemoryTokens.js';
import { getReservedTokens } from './getReservedTokens.js';
import { getUnheardSendsPerTarget } from './getUnheardSendsPerTarget.js';
import type { MemoryUse } from './memoryUse.js';

/** A crash of a target whose memory is filled to this share, as far as this entry knows, may be due to its memory. */
const FILLED_SHARE = 0.8;

const getUsedTokens = (
  { targets, peerHeldTokens }: MemoryUse,
  targetId: string,
  startedAtMs: number | undefined,
): number => {
  const target = targets.get(targetId);
  return target === undefined || target.listed.startedAtMs !== startedAtMs
    ? 0
    : target.heldTokens + (peerHeldTokens.get(targetId) ?? 0);
};

const getReserve = (
  state: RoutingState,
  service: string,
  memoryTokens: number,
  nowMs: number,
): number => {
  const statistics = state.memoryStatistics.get(service);
  if (statistics === undefined) {
    return getReservedTokens(memoryTokens, undefined, 0);
  }
  const targetCount = state.targets.count(({ listed }) => listed.service === service);
  const unheardSends = getUnheardSends(state, service, nowMs);
  const load = { unheardSends, targetCount, nowMs };
  const sendsPerTarget = getUnheardSendsPerTarget(state, statistics, load);
  return getReservedTokens(memoryTokens, statistics, sendsPerTarget);
};

/**
 * Whether the requests that all entries have, or had when the latest digests were sent, at a target may exceed its memory,
 * which crashes it: with the tokens that the others may have sent there unheard, they fill it. The digests of the others
 * may already state fewer requests when this entry notices the crash.
 */
export const isMemoryLikelyExceeded = (
  state: RoutingState,
  targetId: string,
  nowMs: number,
): boolean => {
  const uses = [state, ...state.recentMemoryUses];
  const target = uses.map(({ targets }) => targets.get(targetId)).find(Boolean);
  const memoryTokens =
    target === undefined ? undefined : getMemoryTokens(state, target.listed.service);
  if (target === undefined || memoryTokens === undefined) {
    return false;
  }
  // What is known of the memory may change while the sends of one crash break off.
  if (target.brokenSends?.isMemoryExceeded === true) {
    return true;
  }
  const { listed } = target;
  const usedTokens = Math.max(
    ...uses.map((use) => getUsedTokens(use, targetId, listed.startedAtMs)),
  );
  const reservedTokens = getReserve(state, listed.service, memoryTokens, nowMs);
  const unusedTokens = Math.max(reservedTokens, (1 - FILLED_SHARE) * memoryTokens);
  return usedTokens + unusedTokens >= memoryTokens;
};
