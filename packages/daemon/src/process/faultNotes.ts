import type { MalformedMessage } from '@parsleyhall/protocol';
import type { ConfigurationState, OffsetVerdict } from '@parsleyhall/configuration';
import type { LogFailure, PlatformFailure } from '@parsleyhall/clients';

/** Log lines and counters of what both kinds of process meet. */
export interface FaultNotes {
  /** Notes a failure of the log; false for one of this process's own making, which counts as none. */
  readonly noteLogFailure: (failure: LogFailure) => boolean;
  readonly noteHostListFailure: (failure: PlatformFailure) => void;
  readonly noteMalformed: (fault: MalformedMessage, peer: string) => void;
  readonly noteEffectFailure: (type: string, error: unknown) => void;
  readonly noteVerdict: (verdict: OffsetVerdict) => void;
  readonly noteInForce: (configuration: ConfigurationState) => void;
}
