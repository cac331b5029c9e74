import type { TrackedRequest } from './trackedRequest.js';

const ARRIVALS_PER_TIER = 2 ** 40;

/** Rank among a pool's waiting requests: the lowest tier and, within it, the latest arrival come first. */
export const getWaitingRank = ({ request, sequence }: TrackedRequest): number =>
  -(request.tier * ARRIVALS_PER_TIER + sequence);
