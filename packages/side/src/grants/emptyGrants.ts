import { Map } from 'immutable';
import { OrderedIndex } from '@parsleyhall/common';
import type { GrantsState } from './grantsState.js';

/** The grants of a new incarnation. */
export const EMPTY_GRANTS: GrantsState = {
  lastCounter: 0,
  byId: Map(),
  byRequest: Map(),
  byExpiry: OrderedIndex.empty(),
  settled: OrderedIndex.empty(),
};
