import type { Tier } from '@parsleyhall/common';

/** What a preset promises and allows for one tier. */
export interface TierObjective {
  readonly tier: Tier;
  /** Share of requests to be answered whole and in time, from 0 to 1. */
  readonly objective: number;
  /** Deadline of a request that names none, in milliseconds. */
  readonly deadlineMs: number;
  /** Bound of the time to the first token, in milliseconds. */
  readonly firstTokenMs?: number | undefined;
  /** Bound of the time between tokens, in milliseconds. */
  readonly betweenTokensMs?: number | undefined;
}
