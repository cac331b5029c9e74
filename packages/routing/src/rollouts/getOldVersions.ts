import type { RoutingState } from '../routingState.js';
import { isSameOrder } from './isSameOrder.js';
import type { RolloutOrder } from './rolloutOrder.js';

/** Further versions are left out, so that a record stays short. */
const MAX_OLD_VERSIONS = 16;

/** The versions of the targets that an order leaves, '' for those without a version. */
export const getOldVersions = (
  { rollouts, targets }: RoutingState,
  order: RolloutOrder,
  rejectedVersion: string | undefined,
): readonly string[] => {
  const status = rollouts.byService.get(order.service)?.status;
  const known =
    status !== undefined && isSameOrder(status.order, order) ? (status.oldVersions ?? []) : [];
  const listed = [...targets.values()]
    .filter(({ listed: { service } }) => service === order.service)
    .map(({ listed: { version } }) => version ?? '');
  return [...new Set([...known, ...listed])]
    .filter((version) => version !== order.version && version !== rejectedVersion)
    .slice(0, MAX_OLD_VERSIONS);
};
