import type { AnswerHead } from './answerHead.js';
import type { Confirmation } from './configuration/confirmation.js';
import type { RoutingConfiguration } from './configuration/routingConfiguration.js';
import type { PeerDigest } from './peers/peerDigest.js';
import type { RecentQuotas } from './quota/recentQuotas.js';
import type { Arrival } from './requests/arrival.js';
import type { RoutingSettings } from './routingSettings.js';
import type { SendFailure } from './sendFailure.js';
import type { ListedTarget } from './targets/listedTarget.js';

/** What happened, without the time. */
export type RoutingEvent =
  | { readonly type: 'arrived'; readonly arrival: Arrival }
  | { readonly type: 'callerGone'; readonly requestId: number }
  | {
      readonly type: 'answerBegan';
      readonly requestId: number;
      readonly sendId: number;
      readonly head: AnswerHead;
    }
  /** The first or a later piece of the answer came; told at most every hundred milliseconds or so. */
  | { readonly type: 'answerWentOn'; readonly requestId: number; readonly sendId: number }
  | {
      readonly type: 'answerEnded';
      readonly requestId: number;
      readonly sendId: number;
      readonly events: number;
    }
  | {
      readonly type: 'sendFailed';
      readonly requestId: number;
      readonly sendId: number;
      readonly failure: SendFailure;
    }
  | { readonly type: 'configurationRead'; readonly configuration: RoutingConfiguration }
  | { readonly type: 'configurationConfirmed'; readonly confirmed: Confirmation }
  | { readonly type: 'targetsListed'; readonly targets: readonly ListedTarget[] }
  | { readonly type: 'digestReceived'; readonly digest: PeerDigest }
  /** What was taken of the quotas before this entry started, as it was kept for that. */
  | { readonly type: 'quotasRecalled'; readonly taken: RecentQuotas }
  | { readonly type: 'settingsRead'; readonly settings: RoutingSettings }
  | { readonly type: 'leaving' }
  /** The list of targets was asked for and held nothing newer. */
  | { readonly type: 'targetsConfirmed' }
  | { readonly type: 'ticked' };
