import { Map } from 'immutable';
import { EMPTY_CONFIGURATION } from '@parsleyhall/configuration';
import type { SideSettings } from './sideSettings.js';
import type { SideState } from './sideState.js';
import { newRules } from './configuration/newRules.js';
import { INITIAL_ESTIMATES } from './estimates/initialEstimates.js';
import { EMPTY_GRANTS } from './grants/emptyGrants.js';
import { NOT_LEAVING } from './leaving/notLeaving.js';
import { EMPTY_QUEUE } from './queue/emptyQueue.js';
import { EMPTY_CALLED } from './runs/emptyCalled.js';
import { EMPTY_RUNS } from './runs/emptyRuns.js';
import { INITIAL_DRAIN } from './shedding/initialDrain.js';
import { NOTHING_SHED } from './shedding/nothingShed.js';
import { EMPTY_OCCUPANCY } from './window/emptyOccupancy.js';
import { newWindow } from './window/newWindow.js';

/** The state of a new incarnation. */
export const newSideState = (settings: SideSettings): SideState => ({
  configuration: EMPTY_CONFIGURATION,
  rules: newRules(EMPTY_CONFIGURATION),
  peers: Map(),
  periods: { lastConnection: 0, heartbeatAtMs: 0, digestAtMs: 0, busyAtMs: 0, digest: undefined },
  queue: EMPTY_QUEUE,
  grants: EMPTY_GRANTS,
  called: EMPTY_CALLED,
  runs: EMPTY_RUNS,
  occupancy: EMPTY_OCCUPANCY,
  window: newWindow(settings.initialWindowRequests),
  estimates: INITIAL_ESTIMATES,
  drain: INITIAL_DRAIN,
  shedding: NOTHING_SHED,
  leaving: NOT_LEAVING,
});
