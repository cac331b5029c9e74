import type { TeamName, Tier } from '@parsleyhall/common';

/** Who asks and on what terms, as the headers say, with the preset's defaults filled in. */
export interface CallerTerms {
  readonly team: TeamName;
  readonly tier: Tier;
  /** Time allowed from arrival on, in milliseconds. */
  readonly deadlineInMs: number;
  /** Time allowed for the first token, in milliseconds; absent when the tier has no such bound. */
  readonly firstTokenInMs: number | undefined;
  /** Label of the kind of work; absent when the caller gives none. */
  readonly kind: string | undefined;
  readonly idempotencyKey: string | undefined;
}
