import type { PeerDigest } from '../peers/peerDigest.js';
import { isSameOrder } from './isSameOrder.js';
import type { RolloutReport } from './rolloutReport.js';
import type { RolloutStatus } from './rolloutStatus.js';

/** What another entry reports about this roll-out; undefined if nothing. */
export const findReport = (
  { rollouts }: PeerDigest,
  { order }: RolloutStatus,
): RolloutReport | undefined =>
  rollouts?.reports.find(
    ({ status }) => status.order.service === order.service && isSameOrder(status.order, order),
  );
