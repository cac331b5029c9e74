import { TIERS } from '@parsleyhall/common';
import type { Lane } from './lane.js';
import type { QueueState } from './queueState.js';
import type { WaitingReservation } from './waitingReservation.js';
import { getTierQueue } from './getTierQueue.js';

const TIERS_FROM_LOWEST = [...TIERS].reverse();

const getLast = (queue: QueueState, lane: Lane): WaitingReservation | undefined => {
  const team = lane.teams.last();
  const last = team && lane.requestsByTeam.get(team.id)?.last();
  return last && queue.byRequest.get(last.id);
};

/** The reservation to give up first: of the lowest tier that waits, long before short, the last in order. */
export const chooseShed = (queue: QueueState): WaitingReservation | undefined => {
  for (const tier of TIERS_FROM_LOWEST) {
    const { long, short } = getTierQueue(queue, tier);
    const last = getLast(queue, long) ?? getLast(queue, short);
    if (last !== undefined) {
      return last;
    }
  }
  return undefined;
};
