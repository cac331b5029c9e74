import type { EntryId, GrantId, RequestId } from '@parsleyhall/common';
import type { ConfigurationState } from '@parsleyhall/configuration';
import type { SideToEntryMessage, TargetCall } from '@parsleyhall/protocol';

/** What a side process does to the world, as data. */
export type SideEffect =
  | { readonly type: 'sendToEntry'; readonly entry: EntryId; readonly message: SideToEntryMessage }
  | { readonly type: 'closeEntry'; readonly entry: EntryId }
  /** Calls the target; made at most once for a request. */
  | {
      readonly type: 'callTarget';
      readonly grantId: GrantId;
      readonly requestId: RequestId;
      readonly call: TargetCall;
    }
  /** Asks the target for the stream of a request that an earlier incarnation called, from a byte on. */
  | {
      readonly type: 'resumeOnTarget';
      readonly grantId: GrantId;
      readonly requestId: RequestId;
      readonly fromByte: number;
    }
  | { readonly type: 'cancelOnTarget'; readonly grantId: GrantId; readonly requestId: RequestId }
  /** The configuration in force here has changed. */
  | { readonly type: 'configurationInForce'; readonly configuration: ConfigurationState }
  /** Something worth a log line and a counter, by its name. */
  | {
      readonly type: 'observe';
      readonly name: string;
      readonly fields: Readonly<Record<string, string | number | boolean>>;
    }
  /** All work is finished after a planned stop: the process may end. */
  | { readonly type: 'stopped' };
