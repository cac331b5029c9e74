import { getAllowedSends } from '../limits/getAllowedSends.js';
import { createMemoryView } from '../memory/createMemoryView.js';
import { getMemoryTokens } from '../memory/getMemoryTokens.js';
import { filterByVersion } from '../rollouts/filterByVersion.js';
import type { RoutingState } from '../routingState.js';
import { boundSends } from '../targetLoad/boundSends.js';
import { estimateInFlight } from '../targetLoad/estimateInFlight.js';
import { getReportFreshness } from '../targetLoad/getReportFreshness.js';
import { getSpread } from '../targetLoad/getSpread.js';
import { getUnheardSends } from '../targetLoad/getUnheardSends.js';
import type { Candidate } from './candidate.js';
import { isAcceptingWork } from './isAcceptingWork.js';
import type { Target } from './target.js';

type MemoryView = ReturnType<typeof createMemoryView>;

const estimateLoad = (
  { peers, peerInFlight }: RoutingState,
  { listed, load, inFlight }: Target,
  nowMs: number,
): Pick<Candidate, 'totalInFlight' | 'slots' | 'freeSlots'> => {
  const inFlightOfPeers = peerInFlight.get(listed.id) ?? 0;
  if (load === undefined) {
    const totalInFlight = inFlight + inFlightOfPeers;
    const freeSlots = Math.max(0, listed.slots - totalInFlight);
    return { totalInFlight, slots: listed.slots, freeSlots };
  }
  const { slots } = load;
  const freshness = getReportFreshness(load, peers.size, nowMs);
  const totalInFlight = estimateInFlight({
    own: inFlight,
    peers: inFlightOfPeers,
    load,
    freshness,
  });
  const isFull = load.isFull && freshness > 0;
  return { totalInFlight, slots, freeSlots: isFull ? 0 : Math.max(0, slots - totalInFlight) };
};

const newCandidate = (
  state: RoutingState,
  target: Target,
  {
    allowedNow,
    unheardSends,
    isLoadReported,
    viewMemory,
    nowMs,
  }: {
    /** Sends that the target's own limit allows now. */
    readonly allowedNow: number;
    readonly unheardSends: number;
    /** A target of the service reports its load. */
    readonly isLoadReported: boolean;
    readonly viewMemory: MemoryView;
    readonly nowMs: number;
  },
): Candidate => {
  const { totalInFlight, slots, freeSlots } = estimateLoad(state, target, nowMs);
  const spread = isLoadReported ? getSpread(freeSlots, unheardSends) : 0;
  const view = viewMemory?.(target, totalInFlight);
  const pendingOfPeers =
    target.load === undefined ? 0 : (state.peerPendingTokens.get(target.listed.id) ?? 0);
  const common = {
    target,
    totalInFlight,
    slots,
    freeSlots: Math.min(freeSlots, allowedNow),
    pendingPromptTokens: target.pendingPromptTokens + pendingOfPeers,
  };
  if (view === undefined) {
    return { ...common, freeRequests: common.freeSlots, spread };
  }
  const freeRequests = Math.min(common.freeSlots, Math.max(0, view.freeRequests));
  const widest = Math.max(spread, view.spread);
  return { ...common, freeRequests, spread: widest, memory: view.memory };
};

/**
 * The targets of a service to which this entry may send new work, if not at once; with `includesExposed`, also those of a
 * version that gets only a part of it.
 */
export const getCandidates = (
  state: RoutingState,
  service: string,
  nowMs: number,
  { includesExposed }: { readonly includesExposed: boolean } = { includesExposed: false },
): readonly Candidate[] => {
  const accepting = [...state.targets.values()].filter(
    ({ listed }) => listed.service === service && isAcceptingWork(state, listed, nowMs),
  );
  // A target whose last report was dropped is spread like the others, since many entries may see it idle.
  const isLoadReported = accepting.some(({ load }) => load !== undefined);
  const isSpread = isLoadReported || getMemoryTokens(state, service) !== undefined;
  const unheardSends = isSpread ? getUnheardSends(state, service, nowMs) : 0;
  const targetCount = accepting.length;
  const viewMemory = createMemoryView(state, service, { unheardSends, targetCount, nowMs });
  const candidates = accepting.flatMap((target) => {
    const allowed = getAllowedSends(state, target.listed.id);
    if (allowed?.hasShare === false) {
      return [];
    }
    const allowedNow = allowed?.now ?? Infinity;
    const context = { allowedNow, unheardSends, isLoadReported, viewMemory, nowMs };
    return [newCandidate(state, target, context)];
  });
  const bounded = isLoadReported ? boundSends(state, candidates, unheardSends, nowMs) : candidates;
  return filterByVersion(state, service, bounded, { nowMs, includesExposed });
};
