import type { SideDigest } from '@parsleyhall/protocol';

/** When something was last sent to all peers; times in milliseconds. */
export interface PeriodsState {
  readonly lastConnection: number;
  readonly heartbeatAtMs: number;
  readonly digestAtMs: number;
  /** When something last ran on the target, or the estimates were last relaxed. */
  readonly busyAtMs: number;
  readonly digest: SideDigest | undefined;
}
