import type { QueueState } from './queueState.js';
import type { TierQueue } from './tierQueue.js';
import type { Work } from './work.js';
import { moveTeam } from './moveTeam.js';
import { updateTier } from './updateTier.js';

const forgetSpentTags = (tierQueue: TierQueue): TierQueue => {
  let { tags, idleTeams } = tierQueue;
  let first = idleTeams.first();
  while (first !== undefined && first.rank <= tierQueue.virtualTime) {
    tags = tags.remove(first.id);
    idleTeams = idleTeams.without(first.rank, first.id);
    first = idleTeams.first();
  }
  return idleTeams === tierQueue.idleTeams ? tierQueue : { ...tierQueue, tags, idleTeams };
};

/** The queue after a request of the team was served; the cost is in tokens over the team's weight. */
export const chargeTeam = (
  queue: QueueState,
  { tier, team }: Pick<Work, 'tier' | 'team'>,
  cost: number,
): QueueState =>
  updateTier(queue, tier, (tierQueue) => {
    const start = Math.max(tierQueue.tags.get(team) ?? 0, tierQueue.virtualTime);
    const served = moveTeam(tierQueue, team, start + cost);
    return forgetSpentTags({ ...served, virtualTime: start });
  });
