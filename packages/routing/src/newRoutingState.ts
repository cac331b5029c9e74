import { Map } from 'immutable';
import { newPromptFaults } from './quarantine/newPromptFaults.js';
import { newRollouts } from './rollouts/newRollouts.js';
import type { RoutingSettings } from './routingSettings.js';
import type { RoutingState } from './routingState.js';

/** Creates the state of an entry that starts now; `nowMs` is in milliseconds of the monotonic clock. */
export const newRoutingState = (settings: RoutingSettings, nowMs: number): RoutingState => ({
  settings,
  unusedConfirmation: undefined,
  newestPeerVersion: 0,
  startedAtMs: nowMs,
  targets: Map(),
  targetReports: Map(),
  targetLimits: Map(),
  requests: Map(),
  waiting: Map(),
  peers: Map(),
  peerInFlight: Map(),
  peerHeldTokens: Map(),
  peerPendingTokens: Map(),
  memoryStatistics: Map(),
  recentMemoryUses: [],
  memoryHolds: Map(),
  quotaAccounts: Map(),
  crossings: Map(),
  retryBuckets: Map(),
  admittedLoads: Map(),
  latencyModels: Map(),
  quotasKnownSinceMs: nowMs,
  quotasPersistedAtMs: nowMs,
  promptFaults: newPromptFaults(),
  rollouts: newRollouts(nowMs),
  nextSendId: 1,
  digestSequence: 0,
  digestSentAtMs: -Infinity,
  isLeaving: false,
});
