import type { QueueState } from './queueState.js';
import type { TierQueue } from './tierQueue.js';
import type { WaitingReservation } from './waitingReservation.js';
import { removeFromLane } from './removeFromLane.js';
import { updateTier } from './updateTier.js';

const removeFromTier = (tierQueue: TierQueue, waiting: WaitingReservation): TierQueue => {
  const { team, isLongPrefill } = waiting.work;
  const tag = tierQueue.tags.get(team) ?? 0;
  const member = { team, tag, rank: waiting.latestStartMs, requestId: waiting.requestId };
  const short = isLongPrefill ? tierQueue.short : removeFromLane(tierQueue.short, member);
  const long = isLongPrefill ? removeFromLane(tierQueue.long, member) : tierQueue.long;
  const isIdle = !short.requestsByTeam.has(team) && !long.requestsByTeam.has(team);
  const requests = tierQueue.requests - 1;
  const isTagSpent = isIdle && tag <= tierQueue.virtualTime;
  return {
    ...tierQueue,
    tags: isTagSpent ? tierQueue.tags.remove(team) : tierQueue.tags,
    idleTeams: isIdle && !isTagSpent ? tierQueue.idleTeams.with(tag, team) : tierQueue.idleTeams,
    short,
    long,
    requests,
    tokens: tierQueue.tokens - waiting.tokens,
    workMs: requests === 0 ? 0 : tierQueue.workMs - waiting.workMs,
  };
};

/** The queue without a reservation that waits in it. */
export const removeWaiting = (queue: QueueState, waiting: WaitingReservation): QueueState =>
  updateTier(
    {
      ...queue,
      byRequest: queue.byRequest.remove(waiting.requestId),
      byLatestStart: queue.byLatestStart.without(waiting.latestStartMs, waiting.requestId),
    },
    waiting.work.tier,
    (tierQueue) => removeFromTier(tierQueue, waiting),
  );
