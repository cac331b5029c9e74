import type { SendAllowance } from './sendAllowance.js';

/** What a target last stated about the requests that it takes from all entries together. */
export interface TargetLimit {
  /** Requests per second; undefined if its latest response named no limit. */
  readonly perSecond: number | undefined;
  /** When it stated that, in milliseconds of the monotonic clock. */
  readonly statedAtMs: number;
  /** It stated that in a response to this entry. */
  readonly isLocal: boolean;
  /** What this entry may send of it. */
  readonly allowance: SendAllowance;
}
