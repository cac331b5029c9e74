import { Map } from 'immutable';
import { EMPTY_CONFIGURATION } from '@parsleyhall/configuration';
import type { SideSettings } from './sideSettings.js';
import type { SideState } from './sideState.js';
import { EMPTY_GRANTS } from './grants/emptyGrants.js';
import { NOT_LEAVING } from './leaving/notLeaving.js';
import { EMPTY_QUEUE } from './queue/emptyQueue.js';
import { EMPTY_CALLED } from './runs/emptyCalled.js';
import { EMPTY_RUNS } from './runs/emptyRuns.js';
import { EMPTY_OCCUPANCY } from './window/emptyOccupancy.js';

/** The state of a new incarnation. */
export const newSideState = (settings: SideSettings): SideState => ({
  lastNowMs: undefined,
  configuration: EMPTY_CONFIGURATION,
  peers: Map(),
  periods: { lastConnection: 0, heartbeatAtMs: 0, digestAtMs: 0, digest: undefined },
  queue: EMPTY_QUEUE,
  grants: EMPTY_GRANTS,
  called: EMPTY_CALLED,
  runs: EMPTY_RUNS,
  occupancy: EMPTY_OCCUPANCY,
  window: { requests: settings.initialWindowRequests, tokens: Number.POSITIVE_INFINITY },
  leaving: NOT_LEAVING,
});
