import type { RoutingState } from '../routingState.js';
import { countOldInFlight } from './countOldInFlight.js';
import { getLeaseMs } from './getLeaseMs.js';
import { getSilentPeers } from './getSilentPeers.js';
import { hasSeenOrder } from './hasSeenOrder.js';
import { isTerminal } from './isTerminal.js';
import { MAX_UNHEARD_HOSTS } from './maxUnheardHosts.js';
import type { Rollout } from './rollout.js';
import type { RolloutReport } from './rolloutReport.js';
import type { SharedRollouts } from './sharedRollouts.js';

/** The end of a roll-out is told for this long, since digests may be lost. */
const END_TOLD_MS = 15_000;
/** Reports in one digest, so that it stays short. */
const MAX_REPORTS = 4;

const newReport = (
  state: RoutingState,
  rollout: Rollout,
  nowMs: number,
): readonly RolloutReport[] => {
  const { status, startedAtMs, stageSinceMs, isJudgedBad, kinds } = rollout;
  if (status === undefined) {
    return [];
  }
  const hasEnded = isTerminal(status.stage);
  const toldSinceMs = Math.max(stageSinceMs, state.rollouts.eraSinceMs ?? -Infinity);
  if (hasEnded && !rollout.isStoreBehind && nowMs - toldSinceMs > END_TOLD_MS) {
    return [];
  }
  return [
    {
      status,
      // An unchanged digest is sent less often, so what has ended is told without its age.
      ageMs: hasEnded ? 0 : Math.round(nowMs - startedAtMs),
      isAgeObserved: hasSeenOrder(rollout),
      isJudgedBad,
      oldInFlight: hasEnded ? 0 : countOldInFlight(state, status.order),
      outcomes: hasEnded ? {} : kinds.map(({ counts }) => counts).toObject(),
    },
  ];
};

/** What this entry tells the others about roll-outs; undefined if there is nothing to tell. */
export const shareRollouts = (state: RoutingState, nowMs: number): SharedRollouts | undefined => {
  const { settings, rollouts } = state;
  if (settings.rollouts === undefined) {
    return undefined;
  }
  const { confirmedAtMs = -Infinity } = rollouts;
  const reachesStore = nowMs - confirmedAtMs < getLeaseMs(state);
  const reports = [...rollouts.byService.values()]
    .flatMap((rollout) => newReport(state, rollout, nowMs))
    .slice(0, MAX_REPORTS);
  if (reachesStore && reports.length === 0) {
    return undefined;
  }
  const silent = reports.length === 0 ? [] : getSilentPeers(state, nowMs);
  const unheard = silent.map(({ digest }) => digest.host).slice(0, MAX_UNHEARD_HOSTS);
  return { reachesStore, reports, ...(unheard.length === 0 ? {} : { unheard }) };
};
