import type { Map } from 'immutable';
import type { Confirmation } from './configuration/confirmation.js';
import type { RoutingIndex } from './configuration/routingIndex.js';
import type { Inflow } from './flow/inflow.js';
import type { Peer } from './peers/peer.js';
import type { QuotaAccount } from './quota/quotaAccount.js';
import type { TrackedRequest } from './requests/trackedRequest.js';
import type { RoutingSettings } from './routingSettings.js';
import type { RetryCount } from './retries/retryCount.js';
import type { ServicePace } from './targets/servicePace.js';
import type { Target } from './targets/target.js';
import type { TargetWish } from './targets/targetWish.js';

/** All that an entry's scheduler knows. */
export interface RoutingState {
  readonly settings: RoutingSettings;
  /** Undefined until the first configuration is known. */
  readonly index?: RoutingIndex;
  readonly confirmed?: Confirmation;
  /** Both clocks at the latest tick. */
  readonly ticked?: Confirmation;
  /** When the list of targets was last known to be the newest, in milliseconds of the steady clock. */
  readonly targetsConfirmedMs?: number;
  /** By target id. */
  readonly targets: Map<string, Target>;
  /** What targets said of themselves in their answers, by target id, also of those that are not listed now. */
  readonly wishes: Map<string, TargetWish>;
  readonly requests: Map<number, TrackedRequest>;
  /** Requests without a send under way, by service. */
  readonly waiting: Map<string, Map<number, TrackedRequest>>;
  /** By host. */
  readonly peers: Map<string, Peer>;
  /** By team. */
  readonly quotas: Map<string, QuotaAccount>;
  /** By service. */
  readonly retryCounts: Map<string, readonly RetryCount[]>;
  /** By service. */
  readonly inflows: Map<string, readonly Inflow[]>;
  /** By service. */
  readonly paces: Map<string, ServicePace>;
  /** From here on all that was taken of the quotas is known, in milliseconds of the steady clock. */
  readonly quotasKnownSinceMs: number;
  /** When this entry last kept what was taken, in milliseconds of the steady clock. */
  readonly rememberedMs: number;
  readonly nextSendId: number;
  readonly digestSequence: number;
  readonly isLeaving: boolean;
}
