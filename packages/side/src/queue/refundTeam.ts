import type { QueueState } from './queueState.js';
import type { Work } from './work.js';
import { moveTeam } from './moveTeam.js';
import { updateTier } from './updateTier.js';

/** The queue after a charge to the team was for nothing: its request did not run here. */
export const refundTeam = (
  queue: QueueState,
  { tier, team }: Pick<Work, 'tier' | 'team'>,
  cost: number,
): QueueState =>
  updateTier(queue, tier, (tierQueue) => {
    const tag = tierQueue.tags.get(team);
    return tag === undefined || tag <= tierQueue.virtualTime
      ? tierQueue
      : moveTeam(tierQueue, team, Math.max(tierQueue.virtualTime, tag - cost));
  });
