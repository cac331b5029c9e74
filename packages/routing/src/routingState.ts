import type { Map } from 'immutable';
import type { ClockReading } from './configuration/clockReading.js';
import type { Confirmation } from './configuration/confirmation.js';
import type { RoutingIndex } from './configuration/routingIndex.js';
import type { Crossing } from './dataCentres/crossing.js';
import type { AdmittedLoad } from './load/admittedLoad.js';
import type { TargetLimit } from './limits/targetLimit.js';
import type { MemoryHold } from './memory/memoryHold.js';
import type { MemoryStatistics } from './memory/memoryStatistics.js';
import type { MemoryUse } from './memory/memoryUse.js';
import type { Peer } from './peers/peer.js';
import type { PromptFaults } from './quarantine/promptFaults.js';
import type { QuotaAccount } from './quota/quotaAccount.js';
import type { TrackedRequest } from './requests/trackedRequest.js';
import type { Rollouts } from './rollouts/rollouts.js';
import type { RoutingSettings } from './routingSettings.js';
import type { RetryBucket } from './retries/retryBucket.js';
import type { LatencyModel } from './targets/latencyModel.js';
import type { Target } from './targets/target.js';
import type { TargetReport } from './targets/targetReport.js';

/** The state of an entry's scheduler. */
export interface RoutingState {
  readonly settings: RoutingSettings;
  /** The current configuration; undefined until the first one is read. */
  readonly index?: RoutingIndex;
  /** When the configuration was last confirmed to be the newest. */
  readonly configurationConfirmedAt?: ClockReading;
  /** The latest confirmation, if it cannot be used yet. */
  readonly unusedConfirmation: Confirmation | undefined;
  /** The newest version of the configuration that another entry has reported; 0 before the first digest. */
  readonly newestPeerVersion: number;
  /** Both clocks at the latest tick. */
  readonly lastTick?: ClockReading;
  /** When the list of targets was last confirmed to be the newest, in milliseconds of the monotonic clock. */
  readonly targetsConfirmedAtMs?: number;
  /** By target id. */
  readonly targets: Map<string, Target>;
  /** What targets reported about themselves in responses, by target id, including targets that are not listed now. */
  readonly targetReports: Map<string, TargetReport>;
  /** Limits that targets named in responses, by target and start. */
  readonly targetLimits: Map<string, TargetLimit>;
  /** When the allowances under these limits last accrued, in milliseconds of the monotonic clock. */
  readonly lastAccrualMs?: number;
  /** All requests without a final response, by request id. */
  readonly requests: Map<number, TrackedRequest>;
  /** Queued requests, which have no current send, by service and request id. */
  readonly waiting: Map<string, Map<number, TrackedRequest>>;
  /** By host. */
  readonly peers: Map<string, Peer>;
  /** Requests that the other entries have in flight, by target id; without those of lost entries. */
  readonly peerInFlight: Map<string, number>;
  /** Tokens that requests of the other entries hold, by target id; without those of lost entries. */
  readonly peerHeldTokens: Map<string, number>;
  /** Prompt tokens of the other entries' requests whose responses have not started, by target id; like `peerInFlight`. */
  readonly peerPendingTokens: Map<string, number>;
  /** By service whose targets have limited memory. */
  readonly memoryStatistics: Map<string, MemoryStatistics>;
  /** What targets held when the latest two digests were sent; empty if their memory is not limited. */
  readonly recentMemoryUses: readonly MemoryUse[];
  /** By service; one whose request no longer waits is without effect. */
  readonly memoryHolds: Map<string, MemoryHold>;
  /** By team. */
  readonly quotaAccounts: Map<string, QuotaAccount>;
  /** By service and other data centre; empty unless the settings name the cost of crossing. */
  readonly crossings: Map<string, Map<string, Crossing>>;
  /** By service. */
  readonly retryBuckets: Map<string, readonly RetryBucket[]>;
  /** By service. */
  readonly admittedLoads: Map<string, readonly AdmittedLoad[]>;
  /** By service. */
  readonly latencyModels: Map<string, LatencyModel>;
  /** When this entry started, in milliseconds of the monotonic clock. */
  readonly startedAtMs: number;
  /** The moment since which all quota usage is known, in milliseconds of the monotonic clock. */
  readonly quotasKnownSinceMs: number;
  /** When this entry last persisted the quota usage, in milliseconds of the monotonic clock. */
  readonly quotasPersistedAtMs: number;
  readonly promptFaults: PromptFaults;
  readonly rollouts: Rollouts;
  readonly nextSendId: number;
  readonly digestSequence: number;
  /** When the latest digest was sent, in milliseconds of the monotonic clock; -Infinity if one is due now. */
  readonly digestSentAtMs: number;
  /** The entry is about to stop. */
  readonly isLeaving: boolean;
}
