import { getByTier } from '@parsleyhall/common';
import type { Tier } from '@parsleyhall/common';
import type { QueueState } from './queueState.js';
import type { TierQueue } from './tierQueue.js';

/** The queue of one tier. */
export const getTierQueue = (queue: QueueState, tier: Tier): TierQueue =>
  getByTier(queue.tiers, tier);
