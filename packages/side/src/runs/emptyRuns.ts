import { Map } from 'immutable';
import { OrderedIndex } from '@parsleyhall/common';
import type { RunsState } from './runsState.js';

/** The runs of a new incarnation. */
export const EMPTY_RUNS: RunsState = {
  byId: Map(),
  activeRequests: 0,
  ended: OrderedIndex.empty(),
  decoding: OrderedIndex.empty(),
  prefilling: OrderedIndex.empty(),
  unseenPrefills: OrderedIndex.empty(),
  keptBytes: 0,
};
