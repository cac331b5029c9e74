import type { RoutingState } from '../routingState.js';
import { getLeaseMs } from './getLeaseMs.js';
import type { Rollout } from './rollout.js';

/**
 * Whether this entry has had time to hear from others what the store may have lost: after its start, unless it has seen the
 * order, and after the store has come back from an older copy.
 */
export const mayDecide = (
  state: RoutingState,
  { order, isOrderFromSnapshot }: Rollout,
  nowMs: number,
): boolean => {
  const { eraSinceMs = -Infinity } = state.rollouts;
  const isOrderSeen = order !== undefined && !isOrderFromSnapshot;
  const sinceMs = isOrderSeen ? eraSinceMs : Math.max(eraSinceMs, state.startedAtMs);
  return nowMs - sinceMs >= getLeaseMs(state);
};
