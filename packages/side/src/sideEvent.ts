import type { EntryId, GrantId } from '@parsleyhall/common';
import type { ConfigurationState } from '@parsleyhall/configuration';
import type { EntryToSideMessage } from '@parsleyhall/protocol';

/** Everything that can happen to a side process. `nowMs` is its monotonic clock in whole milliseconds. */
export type SideEvent = { readonly nowMs: number } & (
  | { readonly type: 'entryConnected'; readonly entry: EntryId }
  | { readonly type: 'entryMessage'; readonly entry: EntryId; readonly message: EntryToSideMessage }
  | { readonly type: 'entryDisconnected'; readonly entry: EntryId }
  /** The target answered with a status and headers. */
  | {
      readonly type: 'targetHead';
      readonly grantId: GrantId;
      readonly status: number;
      readonly headers: Readonly<Record<string, string>>;
    }
  /** Bytes of the answer's body; `tokens` counts the token events they hold, 0 where that cannot be seen. */
  | {
      readonly type: 'targetBytes';
      readonly grantId: GrantId;
      readonly bytes: Uint8Array;
      readonly tokens: number;
    }
  | {
      readonly type: 'targetEnd';
      readonly grantId: GrantId;
      readonly prefillTokens: number;
      readonly decodeTokens: number;
    }
  /** The call could not be made (`notRun`: no byte of it was sent) or was cut (`unknown`). */
  | {
      readonly type: 'targetFailed';
      readonly grantId: GrantId;
      readonly outcome: 'notRun' | 'unknown';
    }
  /** The answer to `resumeOnTarget`: the target does not know the request, or is a kind that cannot tell. */
  | { readonly type: 'targetUnknown'; readonly grantId: GrantId }
  /** A load report of the target, with the age it says it has. */
  | {
      readonly type: 'loadReport';
      readonly runningRequests: number;
      readonly waitingRequests: number;
      readonly keyValueUsedShare: number;
      readonly ageMs: number;
    }
  | { readonly type: 'cacheEvent'; readonly fingerprint: number; readonly isEvicted: boolean }
  /** A newer configuration folded from the log. */
  | { readonly type: 'configurationFolded'; readonly configuration: ConfigurationState }
  /** The platform's list says that this host is leaving. */
  | { readonly type: 'hostLeaving' }
  /** The platform's list no longer says so. */
  | { readonly type: 'hostReturned' }
  /** A planned stop was asked for. */
  | { readonly type: 'stopRequested' }
  | { readonly type: 'tick' }
);
