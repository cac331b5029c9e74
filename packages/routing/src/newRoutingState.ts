import { Map } from 'immutable';
import type { RoutingState } from './routingState.js';

/** The state at the start of an entry. */
export const newRoutingState = (): RoutingState => ({
  targets: Map(),
  requests: Map(),
  waiting: Map(),
  peers: Map(),
  quotas: Map(),
  retryCounts: Map(),
  paces: Map(),
  nextSendId: 1,
  digestSequence: 0,
  isLeaving: false,
});
