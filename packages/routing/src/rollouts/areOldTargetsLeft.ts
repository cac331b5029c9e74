import { isPeerAlive } from '../peers/isPeerAlive.js';
import type { Peer } from '../peers/peer.js';
import type { RoutingState } from '../routingState.js';
import { countOldInFlight } from './countOldInFlight.js';
import { findReport } from './findReport.js';
import { getCountedPeers } from './getCountedPeers.js';
import { getLongestTimeoutMs } from './getLongestTimeoutMs.js';
import { getSilentPeers } from './getSilentPeers.js';
import { getSilentWaitMs } from './getSilentWaitMs.js';
import { hasQuorum } from './hasQuorum.js';
import { hasSeenOrder } from './hasSeenOrder.js';
import type { Rollout } from './rollout.js';
import type { RolloutStatus } from './rolloutStatus.js';

/** An entry that has just started is heard within this time. */
const SETTLE_MS = 1_000;

type StartedRollout = Rollout & { readonly status: RolloutStatus };

const hasLeft = ({ digest }: Peer, { status }: StartedRollout): boolean => {
  const report = findReport(digest, status);
  return (
    report?.status.stage === 'leavingOld' &&
    report.status.step >= status.step &&
    report.oldInFlight === 0
  );
};

/** An entry that never learned of this roll-out does not give up its requests when it is cut off. */
const hasLearned = ({ digest }: Peer, { status, startedBy }: StartedRollout): boolean =>
  digest.host === startedBy || findReport(digest, status) !== undefined;

const getWaitMs = (
  state: RoutingState,
  silent: readonly Peer[],
  rollout: StartedRollout,
  nowMs: number,
): number => {
  const { status, stageSinceMs } = rollout;
  const { service } = status.order;
  const remaining = silent.filter((peer) => !hasLeft(peer, rollout));
  if (remaining.length === 0) {
    return SETTLE_MS;
  }
  const silentMs = getSilentWaitMs(state, remaining, { service, stageSinceMs, nowMs });
  const timeoutMs = hasQuorum(state, nowMs) ? 0 : getLongestTimeoutMs(state, service);
  return Math.max(SETTLE_MS, silentMs + timeoutMs);
};

/**
 * Whether no entry has a request at the old targets or may send one: each entry that is heard has said so, and those that
 * are silent have given theirs up. Only an entry that has seen the order knows all that may be silent. After a pause of this
 * process, the time for that starts again, since entries that it has not heard yet may be alive.
 */
export const areOldTargetsLeft = (
  state: RoutingState,
  rollout: StartedRollout,
  nowMs: number,
): boolean => {
  const { status, stageSinceMs } = rollout;
  // Of two entries, the other one gives up without the store as well, since it hears nobody.
  const isOneOfTwo = getCountedPeers(state).length === 1;
  if (
    status.stage !== 'leavingOld' ||
    !hasSeenOrder(rollout) ||
    !(hasQuorum(state, nowMs) || isOneOfTwo)
  ) {
    return false;
  }
  const sinceMs = Math.max(stageSinceMs, state.rollouts.steadySinceMs);
  const silent = getSilentPeers(state, nowMs);
  return (
    nowMs - sinceMs >= getWaitMs(state, silent, rollout, nowMs) &&
    countOldInFlight(state, status.order) === 0 &&
    silent.every((peer) => hasLearned(peer, rollout)) &&
    [...state.peers.values()].every((peer) => !isPeerAlive(peer, nowMs) || hasLeft(peer, rollout))
  );
};
