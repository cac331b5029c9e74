import type { Observation } from './observations/observation.js';
import type { PeerDigest } from './peers/peerDigest.js';
import type { SharedQuarantine } from './quarantine/sharedQuarantine.js';
import type { RecentQuotas } from './quota/recentQuotas.js';
import type { Refusal } from './requests/refusal.js';
import type { RolloutStatus } from './rollouts/rolloutStatus.js';
import type { StoreRevision } from './rollouts/storeRevision.js';

/** An effect that the process outside of the reducer carries out. */
export type RoutingEffect =
  | {
      readonly type: 'send';
      readonly requestId: number;
      readonly sendId: number;
      readonly targetId: string;
      readonly address: string;
      /** The data centre of the target. */
      readonly dataCentre: string;
      readonly team?: string;
      /** The time left for the target to respond, in milliseconds. */
      readonly remainingMs: number;
      /** The response is not a stream and is buffered until it is complete. */
      readonly isBuffered: boolean;
      /** The response is a stream that another target can continue. */
      readonly isResumable: boolean;
    }
  /** Cancels a send and ignores the rest of its response. */
  | { readonly type: 'cancelSend'; readonly requestId: number; readonly sendId: number }
  /** Answers the caller with an error. */
  | { readonly type: 'answer'; readonly requestId: number; readonly refusal: Refusal }
  /** Closes the caller's connection in the middle of a response. */
  | { readonly type: 'breakOff'; readonly requestId: number }
  | { readonly type: 'sendDigest'; readonly digest: PeerDigest }
  /** Persists the recent quota usage for entries that start after all have stopped. */
  | { readonly type: 'rememberQuotas'; readonly usage: RecentQuotas }
  /** Persists the quarantines of prompt parts for entries that start later or hear no other one. */
  | { readonly type: 'rememberQuarantines'; readonly quarantines: readonly SharedQuarantine[] }
  /** Writes the status record of a roll-out if the store holds no record after the revision. */
  | {
      readonly type: 'writeRolloutStatus';
      readonly status: RolloutStatus;
      readonly revision: StoreRevision;
    }
  /** Checks immediately whether the configuration is still the newest. */
  | { readonly type: 'confirmConfiguration' }
  | Observation;
