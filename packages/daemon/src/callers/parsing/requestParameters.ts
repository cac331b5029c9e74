import type { TeamName, Tier } from '@parsleyhall/common';

/** The team, limits and labels of a request from its headers, with the preset's defaults filled in. */
export interface RequestParameters {
  readonly team: TeamName;
  readonly tier: Tier;
  /** Time allowed from arrival to the end of the response, in milliseconds. */
  readonly timeoutMs: number;
  /** Time allowed from arrival to the first token, in milliseconds; undefined when the tier has no such limit. */
  readonly firstTokenTimeoutMs: number | undefined;
  /** The caller's label for the kind of work; undefined when it gives none. */
  readonly kind: string | undefined;
  readonly idempotencyKey: string | undefined;
}
