import { toOptionalField } from '@parsleyhall/common';
import type { RoutingState } from '../routingState.js';
import type { StepContext } from '../steps/stepContext.js';
import type { decideRollout } from './decideRollout.js';
import type { OutcomeCounts } from './outcomeCounts.js';
import type { RolloutOrder } from './rolloutOrder.js';
import type { Rollout } from './rollout.js';
import type { RolloutStatus } from './rolloutStatus.js';
import { getOldVersions } from './getOldVersions.js';
import { isReturn } from './isReturn.js';
import { isSameOrder } from './isSameOrder.js';

type Decision = NonNullable<ReturnType<typeof decideRollout>>;

const getRejectedVersion = (
  status: RolloutStatus | undefined,
  order: RolloutOrder,
): string | undefined => {
  if (status === undefined || isSameOrder(status.order, order)) {
    return status?.rejectedVersion;
  }
  const { version } = status.order;
  if (isReturn(status) || status.stage === 'completed') {
    return status.rejectedVersion === order.version ? undefined : status.rejectedVersion;
  }
  return status.stage === 'rolledBack' && version !== order.version ? version : undefined;
};

/** The record of a decision on a roll-out. */
export const newStatus = (
  state: RoutingState,
  { status, orderSeenAtMs }: Rollout,
  { order, stage, reason }: Decision,
  counts: OutcomeCounts,
  { settings, now, nowMs }: StepContext,
): RolloutStatus => {
  const rejectedVersion = getRejectedVersion(status, order);
  return {
    order,
    stage,
    reason,
    step: (status?.step ?? 0) + 1,
    startedWallMs:
      status !== undefined && isSameOrder(status.order, order)
        ? status.startedWallMs
        : Math.round(now.wallMs - (nowMs - orderSeenAtMs)),
    writer: settings.host,
    ...toOptionalField('rejectedVersion', rejectedVersion),
    oldVersions: getOldVersions(state, order, rejectedVersion),
    ...toOptionalField('writtenEra', state.rollouts.revision?.era),
    counts,
  };
};
