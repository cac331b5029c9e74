import type { Arrival } from '@parsleyhall/routing';
import { isUnreadForLong } from '../reading/isUnreadForLong.js';
import type { Caller } from './caller.js';

/** The request as the scheduler sees it; all moments are milliseconds of the steady clock. */
export const newArrival = ({
  caller: { requestId, request, headers },
  unreadSinceMs,
  readMs,
  nowMs,
  random,
}: {
  readonly caller: Caller;
  /** The earliest moment at which it may have come. */
  readonly unreadSinceMs: number;
  readonly readMs: number;
  readonly nowMs: number;
  readonly random: number;
}): Arrival => {
  const isLate = isUnreadForLong(unreadSinceMs, readMs);
  const unreadMs = readMs - unreadSinceMs;
  // It came at any moment of that span; the middle errs least.
  const cameMs = isLate ? readMs - unreadMs / 2 : readMs;
  return {
    ...headers,
    requestId,
    host: request.headers.host ?? '',
    path: (request.url ?? '/').split('?')[0] ?? '/',
    random,
    elapsedMs: nowMs - cameMs,
    ...(isLate ? { unreadMs: Math.round(unreadMs) } : {}),
  };
};
