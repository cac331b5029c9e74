import type { Tier } from '@parsleyhall/common';

/** Service level objective and time limits of one tier under a preset. */
export interface TierObjective {
  readonly tier: Tier;
  /** Share of requests to be answered completely and in time, from 0 to 1. */
  readonly objective: number;
  /** Deadline of requests that do not specify one, in milliseconds. */
  readonly deadlineMs: number;
  /** Upper limit of the time to the first token, in milliseconds. */
  readonly firstTokenMs?: number | undefined;
  /** Upper limit of the time between tokens, in milliseconds. */
  readonly betweenTokensMs?: number | undefined;
}
