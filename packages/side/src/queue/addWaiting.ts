import type { QueueState } from './queueState.js';
import type { TierQueue } from './tierQueue.js';
import type { WaitingReservation } from './waitingReservation.js';
import { addToLane } from './addToLane.js';
import { updateTier } from './updateTier.js';

const addToTier = (tierQueue: TierQueue, waiting: WaitingReservation): TierQueue => {
  const { team, isLongPrefill } = waiting.work;
  const known = tierQueue.tags.get(team);
  const isIdle =
    !tierQueue.short.requestsByTeam.has(team) && !tierQueue.long.requestsByTeam.has(team);
  const tag = isIdle ? Math.max(tierQueue.virtualTime, known ?? 0) : (known ?? 0);
  const member = { team, tag, rank: waiting.latestStartMs, requestId: waiting.requestId };
  return {
    ...tierQueue,
    tags: tierQueue.tags.set(team, tag),
    idleTeams:
      isIdle && known !== undefined
        ? tierQueue.idleTeams.without(known, team)
        : tierQueue.idleTeams,
    short: isLongPrefill ? tierQueue.short : addToLane(tierQueue.short, member),
    long: isLongPrefill ? addToLane(tierQueue.long, member) : tierQueue.long,
    requests: tierQueue.requests + 1,
    tokens: tierQueue.tokens + waiting.tokens,
    workMs: tierQueue.workMs + waiting.workMs,
  };
};

/** The queue with a reservation added. */
export const addWaiting = (queue: QueueState, waiting: WaitingReservation): QueueState =>
  updateTier(
    {
      ...queue,
      byRequest: queue.byRequest.set(waiting.requestId, waiting),
      byLatestStart: queue.byLatestStart.with(waiting.latestStartMs, waiting.requestId),
    },
    waiting.work.tier,
    (tierQueue) => addToTier(tierQueue, waiting),
  );
