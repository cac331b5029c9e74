import type {
  GrantId,
  HostName,
  Incarnation,
  PoolName,
  RequestId,
  SideId,
} from '@parsleyhall/common';
import type { ConfigurationState } from '@parsleyhall/configuration';
import type { GrantFate } from './grantFate.js';
import type { HandBackReason } from './handBackReason.js';
import type { SideDigest } from './sideDigest.js';

/** Messages from a side process to an entry on their one stream. */
export type SideToEntryMessage =
  | {
      readonly type: 'hello';
      readonly side: SideId;
      readonly incarnation: Incarnation;
      readonly host: HostName;
      readonly dataCentre: string;
      readonly pool: PoolName;
      readonly models: readonly string[];
      readonly configurationVersion: number;
      readonly isLeaving: boolean;
    }
  /** Offers room to a reservation. Unused, it expires on the side process's clock. */
  | { readonly type: 'grant'; readonly grantId: GrantId; readonly requestId: RequestId }
  /** Returns a reservation before any grant. */
  | {
      readonly type: 'handBack';
      readonly requestId: RequestId;
      readonly reason: HandBackReason;
      /** When trying here again makes sense, in milliseconds from now. */
      readonly retryAfterMs: number;
    }
  /** Acknowledges a give: the call is made on the target, once. */
  | { readonly type: 'accepted'; readonly grantId: GrantId; readonly requestId: RequestId }
  /** Refuses a give whose grant had expired, was used or was unknown: the request did not run by it. */
  | { readonly type: 'refused'; readonly grantId: GrantId; readonly requestId: RequestId }
  | {
      readonly type: 'answerHead';
      readonly grantId: GrantId;
      readonly requestId: RequestId;
      readonly status: number;
      readonly headers: Readonly<Record<string, string>>;
    }
  | {
      readonly type: 'answerBytes';
      readonly grantId: GrantId;
      readonly requestId: RequestId;
      /** Place of the first byte in the answer's body. */
      readonly offset: number;
      readonly bytes: Uint8Array;
    }
  | {
      readonly type: 'answerEnd';
      readonly grantId: GrantId;
      readonly requestId: RequestId;
      readonly totalBytes: number;
      /** Prompt tokens that the target computed, not counting what its prefix cache spared. */
      readonly prefillTokens: number;
      readonly decodeTokens: number;
    }
  /** The target cut the answer or could not be asked; `outcome` says whether the request ran. */
  | {
      readonly type: 'answerFailed';
      readonly grantId: GrantId;
      readonly requestId: RequestId;
      readonly outcome: 'notRun' | 'unknown';
    }
  /** Answers askFate. After `running` or `done` the answer follows from the byte asked for. */
  | {
      readonly type: 'fate';
      readonly grantId: GrantId;
      readonly requestId: RequestId;
      readonly fate: GrantFate;
    }
  | { readonly type: 'digest'; readonly digest: SideDigest }
  | { readonly type: 'heartbeat'; readonly configurationVersion: number }
  | { readonly type: 'configuration'; readonly configuration: ConfigurationState };
