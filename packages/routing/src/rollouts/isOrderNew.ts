import { isSameOrder } from './isSameOrder.js';
import { isTerminal } from './isTerminal.js';
import type { Rollout } from './rollout.js';

/**
 * Whether the newest order has no status record yet. An order for the version that is being rolled out is part of that
 * roll-out, and one that was read from a store that has come back from an older copy may be older than the record.
 */
export const isOrderNew = ({
  order,
  status,
  isOrderFromSnapshot,
  orderSeenAtMs,
  stageSinceMs,
}: Rollout): boolean => {
  if (order === undefined || status === undefined) {
    return order !== undefined;
  }
  if (isSameOrder(order, status.order)) {
    return false;
  }
  if (order.version === status.order.version) {
    return !isOrderFromSnapshot && isTerminal(status.stage) && orderSeenAtMs > stageSinceMs;
  }
  return !isOrderFromSnapshot || order.era === status.order.era;
};
