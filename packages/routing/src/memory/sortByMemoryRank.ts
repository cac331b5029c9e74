import type { TrackedRequest } from '../requests/trackedRequest.js';
import { isLate } from '../queue/isLate.js';
import type { LatencyModel } from '../targets/latencyModel.js';
import { getNeed } from './getNeed.js';
import { getValuePerToken } from './getValuePerToken.js';
import { getWaitedShare } from './getWaitedShare.js';
import type { MemoryStatistics } from './memoryStatistics.js';

/** Places requests beyond their quota behind the rest of their tier and ahead of the next tier. */
const OVER_QUOTA_OFFSET = 0.5;
/**
 * How fast the rank grows with the wait. From its objective on, a request ranks 25 times as high as at its arrival, which
 * is more than the values per token within a kind differ.
 */
const AGING_FACTOR = 4;

interface MemoryRank {
  readonly request: TrackedRequest;
  readonly priority: number;
  readonly priorityClass: number;
  readonly isLate: boolean;
  readonly score: number;
}

const rank = (
  request: TrackedRequest,
  statistics: MemoryStatistics | undefined,
  latencyModel: LatencyModel,
  nowMs: number,
): MemoryRank => {
  const age = 1 + AGING_FACTOR * Math.min(1, getWaitedShare(request, nowMs));
  const meanSize = statistics?.meanSizes[request.route.name];
  const need = statistics === undefined ? 1 : getNeed(statistics.shares, request, meanSize);
  const priorityClass = request.tier + (request.isBeyondQuota ? OVER_QUOTA_OFFSET : 0);
  return {
    request,
    priority: request.teamPriority ?? priorityClass,
    priorityClass,
    isLate: need <= 1 && isLate(request, latencyModel, nowMs),
    score: getValuePerToken(request, meanSize) * age * age * need,
  };
};

const compare = (left: MemoryRank, right: MemoryRank): number =>
  left.priority - right.priority ||
  left.priorityClass - right.priorityClass ||
  Number(left.isLate) - Number(right.isLate) ||
  right.score - left.score;

/**
 * Sorts waiting requests into the order in which they are sent while memory is short: by team priority, then by tier and
 * quota, then those that can still meet their objective before late ones, unless too few requests of the same size or team
 * are sent. The rest is decided by the value per token held, which counts for more the longer a request has waited and the
 * fewer requests of its size or team are sent. So the largest requests of a kind, and teams that send mostly such, are
 * not postponed for good.
 */
export const sortByMemoryRank = (
  waiting: Iterable<TrackedRequest>,
  statistics: MemoryStatistics | undefined,
  latencyModel: LatencyModel,
  nowMs: number,
): readonly TrackedRequest[] =>
  [...waiting]
    .map((request) => rank(request, statistics, latencyModel, nowMs))
    .sort(compare)
    .map(({ request }) => request);
