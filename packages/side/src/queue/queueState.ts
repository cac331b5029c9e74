import type { Map } from 'immutable';
import type { OrderedIndex, RequestId } from '@parsleyhall/common';
import type { TierQueue } from './tierQueue.js';
import type { WaitingReservation } from './waitingReservation.js';

/** All waiting reservations, found by request, latest start and order. */
export interface QueueState {
  readonly byRequest: Map<RequestId, WaitingReservation>;
  readonly byLatestStart: OrderedIndex<RequestId>;
  /** From tier 1 to tier 4. */
  readonly tiers: readonly [TierQueue, TierQueue, TierQueue, TierQueue];
}
