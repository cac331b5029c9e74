import type { Tier } from '@parsleyhall/common';
import type { CountByTier } from './countByTier.js';
import type { TargetStatus } from './targetStatus.js';

/** What a process answers on `/status` of its operators' listener. */
export interface ProcessStatus {
  readonly process: string;
  readonly role: 'entry' | 'side';
  readonly host: string;
  readonly dataCentre: string;
  readonly incarnation: string;
  /** 0 while the process has no configuration. */
  readonly configurationVersion: number;
  readonly presetInForce?: string | undefined;
  readonly isLeaving: boolean;
  readonly waitingByTier: CountByTier;
  readonly runningByTier: CountByTier;
  /** Requests that the target may run at once; absent for an entry. */
  readonly windowRequests?: number | undefined;
  readonly shedding: {
    /** 4 when nothing is shed. */
    readonly lowestTierAdmitted: Tier;
    /** Why a tier is shed; absent when none is. */
    readonly reason?: string | undefined;
  };
  /** The side processes that an entry knows; empty for a side process. */
  readonly sides: readonly {
    readonly side: string;
    readonly host: string;
    readonly dataCentre: string;
    readonly pool: string;
    readonly isConnected: boolean;
    /** Absent until the first digest arrives. */
    readonly target?: TargetStatus | undefined;
  }[];
  /** Monotonic counts since the start, by the names that `/metrics` gives them. */
  readonly counters: Readonly<Record<string, number>>;
}
