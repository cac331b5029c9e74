import type { Reservation } from '@parsleyhall/protocol';
import type { TrackedRequest } from './trackedRequest.js';

/** The reservation that stands for a request at side processes, with its times left now. */
export const getReservation = ({ request }: TrackedRequest, nowMs: number): Reservation => ({
  requestId: request.requestId,
  pool: request.pool,
  model: request.model,
  tier: request.tier,
  team: request.team,
  kind: request.kind,
  deadlineLeftMs: Math.max(0, request.deadlineMs - nowMs),
  ...(request.firstTokenByMs === undefined
    ? {}
    : { firstTokenLeftMs: Math.max(0, request.firstTokenByMs - nowMs) }),
  prefillTokens: request.prefillTokens,
  decodeTokens: request.decodeTokens,
  prefixFingerprints: request.prefixFingerprints,
  isNonIdempotent: request.idempotencyKey !== undefined,
});
