import type { Arrival } from '@parsleyhall/routing';
import type { Caller } from './caller.js';

/** The request as the scheduler sees it; `elapsedMs` passed while its body was read, in milliseconds. */
export const newArrival = (
  { requestId, request, headers }: Caller,
  elapsedMs: number,
  random: number,
): Arrival => {
  const { deadlineMs, ...rest } = headers;
  return {
    ...rest,
    requestId,
    host: request.headers.host ?? '',
    path: (request.url ?? '/').split('?')[0] ?? '/',
    random,
    ...(deadlineMs === undefined ? {} : { deadlineMs: Math.max(1, deadlineMs - elapsedMs) }),
  };
};
