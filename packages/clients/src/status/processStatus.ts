import type { Tier } from '@parsleyhall/common';
import type { CountByTier } from './countByTier.js';
import type { TargetStatus } from './targetStatus.js';

/** Response of `/status` on a process's listener for operators. */
export interface ProcessStatus {
  readonly process: string;
  readonly role: 'entry' | 'side';
  readonly host: string;
  readonly dataCentre: string;
  readonly incarnation: string;
  /** 0 if the process has no configuration yet. */
  readonly configurationVersion: number;
  readonly presetInForce?: string | undefined;
  readonly isLeaving: boolean;
  readonly waitingByTier: CountByTier;
  readonly runningByTier: CountByTier;
  /** Maximum number of requests that the target may run concurrently; absent for an entry. */
  readonly windowRequests?: number | undefined;
  readonly shedding: {
    /** 4 if nothing is shed. */
    readonly lowestTierAdmitted: Tier;
    /** Why tiers are shed; absent if none are. */
    readonly reason?: string | undefined;
  };
  /** The side processes known to an entry; empty for a side process. */
  readonly sides: readonly {
    readonly side: string;
    readonly host: string;
    readonly dataCentre: string;
    readonly pool: string;
    readonly isConnected: boolean;
    /** Absent until the side process has sent its first load digest. */
    readonly target?: TargetStatus | undefined;
  }[];
  /** Counters since the start of the process, under their names in `/metrics`. */
  readonly counters: Readonly<Record<string, number>>;
}
