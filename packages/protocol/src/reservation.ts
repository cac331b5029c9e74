import type { PoolName, RequestId, TeamName, Tier } from '@parsleyhall/common';

/** A request's place in the queue of one side process; the request itself stays at its entry. */
export interface Reservation {
  readonly requestId: RequestId;
  readonly pool: PoolName;
  readonly model: string;
  readonly tier: Tier;
  readonly team: TeamName;
  /** Kind of work within the team (an operator's label or the path); estimates are learned by team and kind. */
  readonly kind: string;
  /** Time left until the deadline when the message was sent, in milliseconds. */
  readonly deadlineLeftMs: number;
  /** Time left for the first token when the message was sent, in milliseconds; absent when the tier has no such bound. */
  readonly firstTokenLeftMs?: number;
  readonly prefillTokens: number;
  readonly decodeTokens: number;
  /** Fingerprints of the prompt's prefix blocks, from the first block on; each covers all before it. */
  readonly prefixFingerprints: readonly number[];
  /** True when the target must not be asked twice for this work. */
  readonly isNonIdempotent: boolean;
}
