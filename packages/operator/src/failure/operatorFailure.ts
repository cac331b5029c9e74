import type { ConfigurationVerdict, DocumentFault } from '@parsleyhall/configuration';
import type { LogFailure, PlatformFailure } from '@parsleyhall/clients';

/** Why a command did not do what it was asked. */
export type OperatorFailure =
  | { readonly type: 'badUse'; readonly detail: string }
  | { readonly type: 'fileUnreadable'; readonly file: string; readonly detail: string }
  | { readonly type: 'fileUnwritable'; readonly file: string; readonly detail: string }
  | { readonly type: 'notJson'; readonly file: string; readonly detail: string }
  | {
      readonly type: 'faultyDocument';
      readonly file: string;
      readonly faults: readonly DocumentFault[];
    }
  | { readonly type: 'unknownDocument'; readonly file: string; readonly kinds: readonly string[] }
  | { readonly type: 'logFailed'; readonly failure: LogFailure }
  | { readonly type: 'hostListFailed'; readonly failure: PlatformFailure }
  /** The log keeps no start from which the configuration can be folded. */
  | { readonly type: 'configurationTrimmed'; readonly earliestOffset: number }
  | { readonly type: 'noConfiguration' }
  /** Another operator's change came first; this one is not in force and will not be. */
  | {
      readonly type: 'lostRace';
      readonly base: number;
      readonly currentVersion: number;
      readonly winner: string | undefined;
    }
  /** The log took the record and every reader refuses it. */
  | { readonly type: 'refused'; readonly verdict: ConfigurationVerdict }
  /** The answer to the append was lost and the record has not shown since; it still may. */
  | { readonly type: 'outcomeUnsettled'; readonly publicationId: string; readonly base: number }
  /** The key's run may still be going on. */
  | { readonly type: 'keyRunning'; readonly key: string }
  /** The key has no run whose outcome is open. */
  | { readonly type: 'keySettled'; readonly key: string; readonly condition: string }
  | { readonly type: 'noReport'; readonly detail: string }
  /** No line that was read is about the request. */
  | {
      readonly type: 'requestUnknown';
      readonly id: string;
      readonly lines: number;
      readonly unreadable: number;
    };
