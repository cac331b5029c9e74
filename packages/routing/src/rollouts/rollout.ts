import type { Map } from 'immutable';
import type { RequestKind } from './requestKind.js';
import type { RolloutOrder } from './rolloutOrder.js';
import type { RolloutStatus } from './rolloutStatus.js';

/** The latest roll-out of a service. Moments are in milliseconds of the monotonic clock. */
export interface Rollout {
  /** The newest order that was read; undefined if only its status is known. */
  readonly order?: RolloutOrder;
  readonly orderSeenAtMs: number;
  /** The order was read together with older records, so that it may be an old one itself. */
  readonly isOrderFromSnapshot: boolean;
  /** The newest known status record; undefined before the first one. */
  readonly status?: RolloutStatus;
  /** The host of the entry that wrote the first known record of this roll-out. */
  readonly startedBy?: string;
  /** When the roll-out of `status` started. */
  readonly startedAtMs: number;
  /** When this entry learned of the stage of `status`. */
  readonly stageSinceMs: number;
  /** No record of this stage was written before; this entry may have relied on the previous stage for a lease after it. */
  readonly stageNotBeforeMs: number;
  /** The store shows an older record than `status`, which must be written again. */
  readonly isStoreBehind: boolean;
  /** When this entry last asked for a write; -Infinity before. */
  readonly writeAskedAtMs: number;
  /** Since when a record is due; undefined if none is. */
  readonly dueSinceMs?: number;
  /** Since when no old target or no target at all is listed; undefined while both are listed. */
  readonly incompleteSinceMs?: number;
  /** When this entry last judged the version; -Infinity before. */
  readonly judgedAtMs: number;
  /** The version counts as bad; nothing is sent to it. */
  readonly isJudgedBad: boolean;
  /** Requests of the service that were sent to any target since the status is known. */
  readonly requests: number;
  /** Sends to the new version. */
  readonly exposed: number;
  /** By route and prompt size. */
  readonly kinds: Map<string, RequestKind>;
}
