import type { TeamUsage } from './teamUsage.js';

/** Whether a team may send one more request: its usage after it, or when to come back. */
export type TeamLimitVerdict =
  | { readonly type: 'within'; readonly usage: TeamUsage }
  | { readonly type: 'over'; readonly retryAfterMs: number };
