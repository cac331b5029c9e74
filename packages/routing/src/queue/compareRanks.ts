import type { TrackedRequest } from '../requests/trackedRequest.js';

type Ranks = Pick<TrackedRequest, 'teamPriority' | 'tier'>;

const getRank = ({ teamPriority, tier }: Ranks): number => teamPriority ?? tier;

/** Negative where the left goes first: by the team's own priority, and within it by the route's. */
export const compareRanks = (left: Ranks, right: Ranks): number =>
  getRank(left) - getRank(right) || left.tier - right.tier;
