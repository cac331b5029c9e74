import { Map } from 'immutable';
import { clamp } from '@parsleyhall/common';
import type { StepContext } from '../steps/stepContext.js';
import { isSameOrder } from './isSameOrder.js';
import type { Rollout } from './rollout.js';
import type { RolloutStatus } from './rolloutStatus.js';

const getStartMs = (
  { order, orderSeenAtMs, isOrderFromSnapshot }: Rollout,
  status: RolloutStatus,
  { now, nowMs }: StepContext,
): number => {
  if (order !== undefined && !isOrderFromSnapshot && isSameOrder(order, status.order)) {
    return orderSeenAtMs;
  }
  // The clocks of hosts may differ by seconds, so that a record may seem to come from the future.
  return nowMs - clamp(now.wallMs - status.startedWallMs, 0, 2 * status.order.durationMs);
};

/**
 * The roll-out with a newer status record; counts start again with a new order. `confirmedAtMs` is the moment up to which
 * the store held no newer record than the known one.
 */
export const acceptStatus = (
  rollout: Rollout,
  status: RolloutStatus,
  confirmedAtMs: number,
  context: StepContext,
): Rollout => {
  const { nowMs } = context;
  const stage = { status, stageSinceMs: nowMs, stageNotBeforeMs: confirmedAtMs };
  const isSameRollout =
    rollout.status !== undefined && isSameOrder(rollout.status.order, status.order);
  if (isSameRollout) {
    return { ...rollout, ...stage };
  }
  return {
    ...rollout,
    ...stage,
    startedBy: status.writer,
    startedAtMs: getStartMs(rollout, status, context),
    isStoreBehind: false,
    isJudgedBad: false,
    requests: 0,
    exposed: 0,
    kinds: Map(),
  };
};
