import type { RolloutOrder } from './rolloutOrder.js';

/**
 * Whether two readings are of one order. After the store has come back from an older copy, an order for the same version
 * counts as the same, since the copy may hold an order that has already been carried out.
 */
export const isSameOrder = (left: RolloutOrder, right: RolloutOrder): boolean =>
  left.version === right.version && (left.era !== right.era || left.id === right.id);
