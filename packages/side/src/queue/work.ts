import type { TeamName, Tier } from '@parsleyhall/common';

/** What the order, the window and the estimates need to know of a request. */
export interface Work {
  readonly tier: Tier;
  readonly team: TeamName;
  readonly kind: string;
  readonly prefillTokens: number;
  readonly decodeTokens: number;
  readonly isLongPrefill: boolean;
  readonly isNonIdempotent: boolean;
}
