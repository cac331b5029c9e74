import { OrderedIndex } from '@parsleyhall/common';
import type { PoolState } from './poolState.js';

/** A pool of which nothing is known. */
export const newPoolState = (): PoolState => ({
  sides: [],
  waiting: OrderedIndex.empty(),
  unplaced: OrderedIndex.empty(),
  lowestTierAdmitted: 4,
  shedHoldUntilMs: 0,
  longPrefillShare: 0,
});
