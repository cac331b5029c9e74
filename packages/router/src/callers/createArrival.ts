import type { Arrival } from '@parsleyhall/routing';
import { isReadLate } from '../reading/isReadLate.js';
import type { Caller } from './caller.js';

/** Describes a request to the scheduler. All moments are milliseconds of the monotonic clock. */
export const createArrival = ({
  caller: { requestId, request, headers, body },
  earliestArrivalAtMs,
  readAtMs,
  nowMs,
  random,
}: {
  readonly caller: Caller;
  /** The earliest moment at which it may have arrived. */
  readonly earliestArrivalAtMs: number;
  readonly readAtMs: number;
  readonly nowMs: number;
  readonly random: number;
}): Arrival => {
  const wasReadLate = isReadLate(earliestArrivalAtMs, readAtMs);
  const unreadMs = readAtMs - earliestArrivalAtMs;
  // The request arrived at an unknown moment in that time; its middle keeps the largest possible error smallest. It
  // cannot have arrived after it was read.
  const estimatedArrivalAtMs = wasReadLate ? readAtMs - unreadMs / 2 : readAtMs;
  return {
    ...headers,
    requestId,
    host: request.headers.host ?? '',
    path: (request.url ?? '/').split('?')[0] ?? '/',
    bodyBytes: body.length,
    random,
    elapsedMs: nowMs - estimatedArrivalAtMs,
    ...(wasReadLate ? { minElapsedMs: nowMs - readAtMs, unreadMs: Math.round(unreadMs) } : {}),
  };
};
