import { isSameOrder } from './isSameOrder.js';
import type { Rollout } from './rollout.js';

/** Whether this entry read the order of the known roll-out when it was given, and so knows when that was. */
export const hasSeenOrder = ({ order, status, isOrderFromSnapshot }: Rollout): boolean =>
  order !== undefined &&
  status !== undefined &&
  !isOrderFromSnapshot &&
  isSameOrder(order, status.order);
