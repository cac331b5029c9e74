import type { Arrival } from '@parsleyhall/routing';
import type { Caller } from './caller.js';

const TOLD_FROM_MS = 100;

/** The request as the scheduler sees it; `elapsedMs` passed while its body was read, `unreadMs` may have passed before, both in milliseconds. */
export const newArrival = (
  { requestId, request, headers }: Caller,
  { elapsedMs, unreadMs }: { readonly elapsedMs: number; readonly unreadMs: number },
  random: number,
): Arrival => {
  const { deadlineMs, ...rest } = headers;
  return {
    ...rest,
    requestId,
    host: request.headers.host ?? '',
    path: (request.url ?? '/').split('?')[0] ?? '/',
    random,
    ...(unreadMs < TOLD_FROM_MS ? {} : { unreadMs: Math.round(unreadMs) }),
    ...(deadlineMs === undefined ? {} : { deadlineMs: Math.max(1, deadlineMs - elapsedMs) }),
  };
};
