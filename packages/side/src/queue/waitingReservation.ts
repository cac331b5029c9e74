import type { EntryId, RequestId } from '@parsleyhall/common';
import type { Work } from './work.js';

/** A reservation in the queue of this side process; times are on its monotonic clock, in milliseconds. */
export interface WaitingReservation {
  readonly requestId: RequestId;
  readonly entry: EntryId;
  readonly work: Work;
  readonly arrivedAtMs: number;
  readonly deadlineMs: number;
  /** Time by which it would have to start on an idle target to end in time, as estimated on arrival. */
  readonly latestStartMs: number;
  /** Tokens of the target's work that it stands for, as estimated on arrival. */
  readonly tokens: number;
  /** Milliseconds of the target's time that it takes, as estimated on arrival. */
  readonly workMs: number;
  /** Grants issued for it that expired unused. */
  readonly expiredGrants: number;
}
