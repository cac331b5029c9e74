import type { RoutingState } from '../routingState.js';
import { createStepResult } from '../steps/createStepResult.js';
import type { StepResult } from '../steps/stepResult.js';
import { getDecidingRank } from './getDecidingRank.js';
import { getLeaseMs } from './getLeaseMs.js';
import { putRollout } from './putRollout.js';
import type { Rollout } from './rollout.js';
import type { RolloutStatus } from './rolloutStatus.js';

/** An entry writes a record that is due if those before it by name have not done so within this time for each. */
const TAKEOVER_MS = 1_500;
const MAX_TAKEOVER_RANK = 3;
/** A write that has not shown up in the store is asked for again. */
const REPEAT_MS = 700;

/**
 * Asks for the write of a record that is due, if it is this entry's turn. The record is appended only if the store holds
 * nothing newer than what this entry has read.
 */
export const askForWrite = (
  state: RoutingState,
  rollout: Rollout,
  status: RolloutStatus,
  nowMs: number,
): StepResult => {
  const { revision, confirmedAtMs = -Infinity } = state.rollouts;
  const { service } = status.order;
  const dueSinceMs = rollout.dueSinceMs ?? nowMs;
  const due = putRollout(state, service, { ...rollout, dueSinceMs });
  const rank = Math.min(MAX_TAKEOVER_RANK, getDecidingRank(state, nowMs));
  const canWrite =
    revision !== undefined && !state.isLeaving && nowMs - confirmedAtMs < getLeaseMs(state);
  if (
    !canWrite ||
    nowMs - dueSinceMs < rank * TAKEOVER_MS ||
    nowMs - rollout.writeAskedAtMs < REPEAT_MS
  ) {
    return createStepResult(due);
  }
  return createStepResult(
    putRollout(due, service, { ...rollout, dueSinceMs, writeAskedAtMs: nowMs }),
    { type: 'writeRolloutStatus', status, revision },
  );
};
