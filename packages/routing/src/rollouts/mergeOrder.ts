import type { RoutingState } from '../routingState.js';
import { createStepResult } from '../steps/createStepResult.js';
import type { StepResult } from '../steps/stepResult.js';
import { hasSeenOrder } from './hasSeenOrder.js';
import { isSameOrder } from './isSameOrder.js';
import { isTerminal } from './isTerminal.js';
import { newRollout } from './newRollout.js';
import { putRollout } from './putRollout.js';
import type { Rollout } from './rollout.js';
import type { RolloutOrder } from './rolloutOrder.js';

/** An order for the version that is being rolled out belongs to that roll-out, whose time it does not change. */
const isRepeated = (rollout: Rollout, { version }: RolloutOrder): boolean =>
  hasSeenOrder(rollout) &&
  rollout.status?.order.version === version &&
  !isTerminal(rollout.status.stage);

/** Takes note of the newest order for a service. One that was already known, or may be older, changes nothing. */
export const mergeOrder = (
  state: RoutingState,
  order: RolloutOrder,
  isFromSnapshot: boolean,
  nowMs: number,
): StepResult => {
  const { service, version, durationMs } = order;
  const rollout = state.rollouts.byService.get(service) ?? newRollout(nowMs);
  const known = rollout.order;
  const isKnown =
    known !== undefined &&
    (isSameOrder(known, order) || (isFromSnapshot && known.era !== order.era));
  if (isKnown) {
    return createStepResult(state);
  }
  const ordered = isRepeated(rollout, order)
    ? rollout
    : { ...rollout, order, orderSeenAtMs: nowMs, isOrderFromSnapshot: isFromSnapshot };
  return createStepResult(putRollout(state, service, ordered), {
    type: 'observe',
    name: 'rolloutOrdered',
    fields: { service, targetVersion: version, durationMs },
  });
};
