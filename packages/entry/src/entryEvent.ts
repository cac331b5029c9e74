import type { RequestId, SideId } from '@parsleyhall/common';
import type { ConfigurationState } from '@parsleyhall/configuration';
import type { SideToEntryMessage } from '@parsleyhall/protocol';
import type { ArrivedRequest } from './arrivedRequest.js';
import type { KeyRecord } from './keys/keyRecord.js';
import type { ListedHost } from './listedHost.js';

/**
 * Everything that can happen to an entry. `nowMs` is its monotonic clock in whole milliseconds; `wallMs` the time of day
 * since 1970, used for the age of idempotency keys alone.
 */
export type EntryEvent = { readonly nowMs: number; readonly wallMs: number } & (
  | { readonly type: 'requestArrived'; readonly request: ArrivedRequest }
  | { readonly type: 'callerHungUp'; readonly requestId: RequestId }
  | { readonly type: 'sideConnected'; readonly side: SideId }
  | { readonly type: 'sideMessage'; readonly side: SideId; readonly message: SideToEntryMessage }
  | { readonly type: 'sideDisconnected'; readonly side: SideId }
  /** The platform's list as read last. */
  | {
      readonly type: 'hostsListed';
      readonly hosts: readonly ListedHost[];
      /** Number of live entries, this one included; limits of teams are shared evenly among them. */
      readonly liveEntries?: number;
    }
  /** Records of a key partition in log order; `offsets` are theirs, `nextOffset` follows the last one read. */
  | {
      readonly type: 'keyRecordsRead';
      readonly partition: number;
      readonly records: readonly { readonly offset: number; readonly record: KeyRecord }[];
      readonly nextOffset: number;
      /** True when the reader had reached the end of the stream. */
      readonly isAtEnd: boolean;
    }
  /** The log could not be read or appended to just now. */
  | { readonly type: 'logFailed' }
  | { readonly type: 'configurationFolded'; readonly configuration: ConfigurationState }
  | { readonly type: 'stopRequested' }
  | { readonly type: 'tick' }
);
