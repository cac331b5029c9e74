import type { MalformedMessage } from '@parsleyhall/protocol';
import type { ConfigurationState, OffsetVerdict } from '@parsleyhall/configuration';
import type { LogFailure, PlatformFailure } from '@parsleyhall/clients';

/** Logs and counts the failures and configuration events that entries and side processes have in common. */
export interface Diagnostics {
  /** Records a failed log request; returns false, and records nothing, when this process aborted the request itself. */
  readonly recordLogFailure: (failure: LogFailure) => boolean;
  readonly recordHostListFailure: (failure: PlatformFailure) => void;
  readonly recordMalformedMessage: (fault: MalformedMessage, peer: string) => void;
  /** Records that the stream to a peer was closed by either end or by its keep-alive. */
  readonly recordPeerDisconnected: (peer: string) => void;
  readonly recordEffectFailure: (type: string, error: unknown) => void;
  readonly recordVerdict: (verdict: OffsetVerdict) => void;
  readonly recordActiveConfiguration: (configuration: ConfigurationState) => void;
}
