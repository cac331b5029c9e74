import type { Tier } from '@parsleyhall/common';
import type { QueueState } from './queueState.js';
import type { TierQueue } from './tierQueue.js';

/** The queue with one tier replaced. */
export const updateTier = (
  queue: QueueState,
  tier: Tier,
  update: (tierQueue: TierQueue) => TierQueue,
): QueueState => {
  const [first, second, third, fourth] = queue.tiers;
  switch (tier) {
    case 1:
      return { ...queue, tiers: [update(first), second, third, fourth] };
    case 2:
      return { ...queue, tiers: [first, update(second), third, fourth] };
    case 3:
      return { ...queue, tiers: [first, second, update(third), fourth] };
    case 4:
      return { ...queue, tiers: [first, second, third, update(fourth)] };
  }
};
