import { Map as ImmutableMap } from 'immutable';
import { OrderedIndex } from '@parsleyhall/common';
import type { KeyPartition } from './keyPartition.js';

/** A partition of which nothing has been read. */
export const newKeyPartition = (): KeyPartition => ({
  nextOffset: 0,
  keys: ImmutableMap(),
  expiries: OrderedIndex.empty(),
  waiters: ImmutableMap(),
  trustedFromMs: 0,
});
