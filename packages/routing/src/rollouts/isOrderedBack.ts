import type { RolloutOrder } from './rolloutOrder.js';
import type { RolloutStatus } from './rolloutStatus.js';

/** Whether an order names a version that served before a roll-out that has not replaced it. */
export const isOrderedBack = (
  { version }: RolloutOrder,
  { stage, order, oldVersions }: RolloutStatus,
): boolean =>
  stage !== 'completed' && version !== order.version && oldVersions?.includes(version) === true;
