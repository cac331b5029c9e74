import type { ResponseFault } from './responseFault.js';
import type { ResponseHead } from './responseHead.js';
import type { Confirmation } from './configuration/confirmation.js';
import type { RoutingConfiguration } from './configuration/routingConfiguration.js';
import type { PeerDigest } from './peers/peerDigest.js';
import type { SharedQuarantine } from './quarantine/sharedQuarantine.js';
import type { RecentQuotas } from './quota/recentQuotas.js';
import type { Arrival } from './requests/arrival.js';
import type { ClockReading } from './configuration/clockReading.js';
import type { RolloutOrder } from './rollouts/rolloutOrder.js';
import type { RolloutStatus } from './rollouts/rolloutStatus.js';
import type { StoreRevision } from './rollouts/storeRevision.js';
import type { RoutingSettings } from './routingSettings.js';
import type { SendFailure } from './sendFailure.js';
import type { ListedTarget } from './targets/listedTarget.js';

/** An input of the scheduler, without its time. */
export type RoutingEvent =
  | { readonly type: 'requestArrived'; readonly arrival: Arrival }
  | { readonly type: 'callerGone'; readonly requestId: number }
  | {
      readonly type: 'responseHeadReceived';
      readonly requestId: number;
      readonly sendId: number;
      readonly head: ResponseHead;
    }
  /** A part of the response arrived; dispatched for the first part, then at most about every hundred milliseconds. */
  | { readonly type: 'responseProgressed'; readonly requestId: number; readonly sendId: number }
  /** The head of the response was sent to the caller, before any part that counts as progress. */
  | { readonly type: 'responseStarted'; readonly requestId: number; readonly sendId: number }
  /** No other target's response can continue what the caller has received of this one. */
  | { readonly type: 'responseCommitted'; readonly requestId: number; readonly sendId: number }
  | {
      readonly type: 'responseEnded';
      readonly requestId: number;
      readonly sendId: number;
      readonly events: number;
      /** The id of the last event that the caller received; undefined if there was none. */
      readonly lastEventId?: string;
    }
  | {
      readonly type: 'sendFailed';
      readonly requestId: number;
      readonly sendId: number;
      readonly failure: SendFailure;
      readonly fault?: ResponseFault;
    }
  | { readonly type: 'configurationRead'; readonly configuration: RoutingConfiguration }
  | ({ readonly type: 'configurationConfirmed' } & Confirmation)
  | { readonly type: 'targetsListed'; readonly targets: readonly ListedTarget[] }
  | { readonly type: 'digestReceived'; readonly digest: PeerDigest }
  /** The persisted quota usage from before this entry started was read. */
  | { readonly type: 'quotasRestored'; readonly usage: RecentQuotas }
  /** The persisted quarantines of prompt parts were read, or have changed. */
  | { readonly type: 'quarantinesRead'; readonly quarantines: readonly SharedQuarantine[] }
  /** Orders of roll-outs were read; a snapshot may hold orders that were carried out long ago. */
  | {
      readonly type: 'rolloutOrdersRead';
      readonly orders: readonly RolloutOrder[];
      readonly isSnapshot: boolean;
    }
  /** Status records of roll-outs were read; a snapshot has those of all services. */
  | {
      readonly type: 'rolloutStatusesRead';
      readonly statuses: readonly RolloutStatus[];
      readonly isSnapshot: boolean;
    }
  /** At that moment, the store held no status records newer than those read. */
  | {
      readonly type: 'rolloutStatusesConfirmed';
      readonly confirmedAt: ClockReading;
      readonly revision: StoreRevision;
    }
  | { readonly type: 'settingsRead'; readonly settings: RoutingSettings }
  /** The entry is about to stop. */
  | { readonly type: 'drainStarted' }
  /** The entry exits in a moment: each open request has to get its final response now. */
  | { readonly type: 'drainTimeUp' }
  /** The list of targets was requested and has not changed. */
  | { readonly type: 'targetsConfirmed' }
  /** The periodic timer fired. */
  | { readonly type: 'ticked' };
