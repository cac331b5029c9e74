import type { PoolName, RequestId, TeamName, Tier } from '@parsleyhall/common';
import type { TargetCall } from '@parsleyhall/protocol';

/** A caller's request, read whole and checked; who sent it is settled. */
export interface ArrivedRequest {
  readonly requestId: RequestId;
  readonly team: TeamName;
  readonly tier: Tier;
  readonly pool: PoolName;
  readonly model: string;
  readonly kind: string;
  /** Deadline on this entry's monotonic clock, in milliseconds. */
  readonly deadlineMs: number;
  /** Bound of the first token on this entry's monotonic clock, in milliseconds; absent without one. */
  readonly firstTokenByMs?: number;
  readonly prefillTokens: number;
  readonly decodeTokens: number;
  readonly prefixFingerprints: readonly number[];
  readonly call: TargetCall;
  /** Present for a non-idempotent call. */
  readonly idempotencyKey?: string;
}
