import type { RequestId, SideId } from '@parsleyhall/common';
import type { ConfigurationState } from '@parsleyhall/configuration';
import type { EntryToSideMessage } from '@parsleyhall/protocol';
import type { FinalFailure } from './finalFailure.js';
import type { KeyRecord } from './keys/keyRecord.js';

/** What an entry does to the world, as data. */
export type EntryEffect =
  | { readonly type: 'sendToSide'; readonly side: SideId; readonly message: EntryToSideMessage }
  /** Opens a stream to a side process; the connection is tried again until closed. */
  | { readonly type: 'openSide'; readonly side: SideId; readonly address: string }
  | { readonly type: 'closeSide'; readonly side: SideId }
  /** Drops the stream and connects anew: the peer has been silent. */
  | { readonly type: 'reconnectSide'; readonly side: SideId }
  | {
      readonly type: 'answerHead';
      readonly requestId: RequestId;
      readonly status: number;
      readonly headers: Readonly<Record<string, string>>;
    }
  | { readonly type: 'answerBytes'; readonly requestId: RequestId; readonly bytes: Uint8Array }
  | { readonly type: 'answerEnd'; readonly requestId: RequestId }
  /** Ends the request without a target's answer; when a head was sent, the connection is cut so that the caller sees a broken answer. */
  | {
      readonly type: 'answerFailure';
      readonly requestId: RequestId;
      readonly failure: FinalFailure;
    }
  /** Appends to a key partition; the shell batches, and repeats until the record shows or the log refuses. */
  | { readonly type: 'appendKeyRecord'; readonly partition: number; readonly record: KeyRecord }
  | { readonly type: 'configurationInForce'; readonly configuration: ConfigurationState }
  /** Something worth a log line and a counter, by its name. */
  | {
      readonly type: 'observe';
      readonly name: string;
      readonly fields: Readonly<Record<string, string | number | boolean>>;
    }
  /** All work is finished after a planned stop: the process may end. */
  | { readonly type: 'stopped' };
