import type { Tier } from '@parsleyhall/common';
import type { QueueState } from './queueState.js';
import type { TierQueue } from './tierQueue.js';

/** The queue of one tier. */
export const getTierQueue = (queue: QueueState, tier: Tier): TierQueue => {
  const [first, second, third, fourth] = queue.tiers;
  switch (tier) {
    case 1:
      return first;
    case 2:
      return second;
    case 3:
      return third;
    case 4:
      return fourth;
  }
};
