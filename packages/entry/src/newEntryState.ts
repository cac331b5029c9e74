import { Map as ImmutableMap } from 'immutable';
import { OrderedIndex } from '@parsleyhall/common';
import { EMPTY_CONFIGURATION } from '@parsleyhall/configuration';
import type { EntryState } from './entryState.js';

/** The state of an entry that has just started. */
export const newEntryState = (): EntryState => ({
  lastNowMs: 0,
  configuration: EMPTY_CONFIGURATION,
  sides: ImmutableMap(),
  pools: ImmutableMap(),
  requests: ImmutableMap(),
  due: OrderedIndex.empty(),
  waitingCount: 0,
  waitingBytes: 0,
  arrivals: 0,
  partitions: ImmutableMap(),
  teams: ImmutableMap(),
  liveEntries: 1,
  nextHeartbeatAtMs: 0,
  isStopping: false,
  isStopped: false,
});
