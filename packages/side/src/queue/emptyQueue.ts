import { Map } from 'immutable';
import { OrderedIndex } from '@parsleyhall/common';
import type { Lane } from './lane.js';
import type { QueueState } from './queueState.js';
import type { TierQueue } from './tierQueue.js';

const EMPTY_LANE: Lane = { teams: OrderedIndex.empty(), requestsByTeam: Map() };

const EMPTY_TIER: TierQueue = {
  virtualTime: 0,
  tags: Map(),
  idleTeams: OrderedIndex.empty(),
  short: EMPTY_LANE,
  long: EMPTY_LANE,
  requests: 0,
  tokens: 0,
  workMs: 0,
};

/** The queue before any reservation. */
export const EMPTY_QUEUE: QueueState = {
  byRequest: Map(),
  byLatestStart: OrderedIndex.empty(),
  tiers: [EMPTY_TIER, EMPTY_TIER, EMPTY_TIER, EMPTY_TIER],
};
