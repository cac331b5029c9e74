import { Map } from 'immutable';
import type { RoutingSettings } from './routingSettings.js';
import type { RoutingState } from './routingState.js';

/** The state of an entry that starts now, in milliseconds of the steady clock. */
export const newRoutingState = (settings: RoutingSettings, nowMs: number): RoutingState => ({
  settings,
  targets: Map(),
  wishes: Map(),
  requests: Map(),
  waiting: Map(),
  peers: Map(),
  quotas: Map(),
  retryCounts: Map(),
  inflows: Map(),
  paces: Map(),
  quotasKnownSinceMs: nowMs,
  rememberedMs: nowMs,
  nextSendId: 1,
  digestSequence: 0,
  isLeaving: false,
});
