import { TIERS } from '@parsleyhall/common';
import type { QueueState } from './queueState.js';
import type { WaitingReservation } from './waitingReservation.js';
import { chooseNext } from './chooseNext.js';

const TIERS_FROM_LOWEST = [...TIERS].reverse();

/** The reservation to give up first: of the lowest tier that waits. */
export const chooseShed = (queue: QueueState): WaitingReservation | undefined => {
  for (const lowest of TIERS_FROM_LOWEST) {
    const waiting = chooseNext(queue, {
      allowsTier: (tier) => tier === lowest,
      allowsLongPrefills: true,
    });
    if (waiting !== undefined) {
      return waiting;
    }
  }
  return undefined;
};
