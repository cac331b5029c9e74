import type { SideDigest } from '@parsleyhall/protocol';

/** When something was last sent to all peers; times in milliseconds. */
export interface PeriodsState {
  readonly lastConnection: number;
  readonly heartbeatAtMs: number;
  readonly digestAtMs: number;
  readonly digest: SideDigest | undefined;
}
