import type {
  ConfigurationVerdict,
  DocumentDifference,
  DocumentFault,
} from '@parsleyhall/configuration';
import type { LogFailure, PlatformFailure } from '@parsleyhall/clients';
import type { RoutingFinding } from '../routing/routingFinding.js';

/** Why a command failed. */
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
  /** A routing document is valid, but has findings that make requests fail. */
  | {
      readonly type: 'faultyRouting';
      readonly file: string;
      readonly text: string;
      readonly findings: readonly RoutingFinding[];
      /** Undefined if it was not compared with another one. */
      readonly differences: readonly DocumentDifference[] | undefined;
    }
  | { readonly type: 'unknownDocument'; readonly file: string; readonly kinds: readonly string[] }
  | { readonly type: 'logFailed'; readonly failure: LogFailure }
  | { readonly type: 'hostListFailed'; readonly failure: PlatformFailure }
  /** The log was trimmed and has no checkpoint from which the configuration can be rebuilt. */
  | { readonly type: 'configurationTrimmed'; readonly earliestOffset: number }
  | { readonly type: 'noConfiguration' }
  /** Another operator's change came first; this one never comes into force. */
  | {
      readonly type: 'lostRace';
      readonly base: number;
      readonly currentVersion: number;
      readonly winner: string | undefined;
    }
  /** The record is in the log, but every reader rejects it. */
  | { readonly type: 'refused'; readonly verdict: ConfigurationVerdict }
  /** The record has not been read back from the log, for example after a lost append response; it may still appear. */
  | { readonly type: 'outcomeUnsettled'; readonly publicationId: string; readonly base: number }
  /** The key's run may still be in progress. */
  | { readonly type: 'keyRunning'; readonly key: string }
  /** The key has no run with an open outcome. */
  | { readonly type: 'keySettled'; readonly key: string; readonly condition: string }
  | { readonly type: 'noReport'; readonly detail: string }
  /** No line that was read is about the request. */
  | {
      readonly type: 'requestUnknown';
      readonly id: string;
      readonly lines: number;
      readonly unreadable: number;
    };
