import type { RoutingState } from '../routingState.js';
import { getDigestAgeMs } from '../targetLoad/getDigestAgeMs.js';
import { ALL_REQUESTS_GROUP } from './allRequestsGroup.js';
import { decayRecentRate } from './decayRecentRate.js';
import { getSentShare } from './getSentShare.js';
import type { MemoryStatistics } from './memoryStatistics.js';

/**
 * The requests that the other entries are expected to send to one target before their next digests, if their load is like
 * that of this entry, in a burst as well, and they send as large a share of it.
 */
export const getUnheardSendsPerTarget = (
  { peers }: RoutingState,
  statistics: MemoryStatistics,
  {
    unheardSends,
    targetCount,
    nowMs,
  }: {
    /** By the work that this entry admitted within about a second. */
    readonly unheardSends: number;
    readonly targetCount: number;
    readonly nowMs: number;
  },
): number => {
  const { perMs } = decayRecentRate(statistics.arrivals, nowMs);
  const unheardInBurst = perMs * peers.size * getDigestAgeMs(peers.size);
  const sentShare = getSentShare(statistics.shares.get(ALL_REQUESTS_GROUP), 1);
  return (sentShare * Math.max(unheardSends, unheardInBurst)) / Math.max(1, targetCount);
};
