import type { OrderedIndex, RequestId, SideId, Tier } from '@parsleyhall/common';

/** One pool of targets as this entry sees it. */
export interface PoolState {
  /** Side processes that have greeted for this pool on an open connection. */
  readonly sides: readonly SideId[];
  /** Waiting requests, also those that claim their key or wait for its owner; the lowest tier and the latest arrival come first. */
  readonly waiting: OrderedIndex<RequestId>;
  /** Waiting requests without any reservation. */
  readonly unplaced: OrderedIndex<RequestId>;
  /** The lowest tier admitted after a request was shed, until `shedHoldUntilMs`. */
  readonly lowestTierAdmitted: Tier;
  readonly shedHoldUntilMs: number;
  /** Moving share of the prefill tokens that long prefills bring, from 0 to 1. */
  readonly longPrefillShare: number;
}
