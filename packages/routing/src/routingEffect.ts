import type { Observation } from './observations/observation.js';
import type { PeerDigest } from './peers/peerDigest.js';
import type { RecentQuotas } from './quota/recentQuotas.js';
import type { Refusal } from './requests/refusal.js';

/** What the shell is to do. */
export type RoutingEffect =
  | {
      readonly type: 'send';
      readonly requestId: number;
      readonly sendId: number;
      readonly targetId: string;
      readonly address: string;
      readonly team?: string;
      /** What the target may take at most, in milliseconds. */
      readonly remainingMs: number;
      /** The answer is one whole document, held back until it is complete. */
      readonly isWhole: boolean;
    }
  /** Ends a send and takes nothing more of it. */
  | { readonly type: 'cancelSend'; readonly requestId: number; readonly sendId: number }
  | { readonly type: 'answer'; readonly requestId: number; readonly refusal: Refusal }
  /** Ends the caller's connection in the middle of an answer. */
  | { readonly type: 'breakOff'; readonly requestId: number }
  | { readonly type: 'sendDigest'; readonly digest: PeerDigest }
  /** Keeps what was taken of the quotas for entries that start after all have stopped. */
  | { readonly type: 'rememberQuotas'; readonly taken: RecentQuotas }
  /** Asks at once whether the configuration is still the newest. */
  | { readonly type: 'confirmConfiguration' }
  | Observation;
