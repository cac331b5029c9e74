import { STATUS_CODES } from 'node:http';
import type { Socket } from 'node:net';
import type { CallerDismissal } from './callerDismissal.js';
import { closeWithResponse } from './closeWithResponse.js';

const STATUSES: Readonly<Record<CallerDismissal, number>> = {
  bodyTooLarge: 413,
  bodyTooSlow: 408,
  headTooSlow: 408,
  headersTooLarge: 431,
  memoryShort: 503,
  tooManyConnections: 503,
  noHost: 400,
  expectationFailed: 417,
};
const HTTP_UNAVAILABLE = 503;
const RETRY_AFTER_SECONDS = '0.500';

/** Refuses the current request of a connection, which has not run, and closes the connection. Returns the status. */
export const dismissCaller = (socket: Socket, reason: CallerDismissal): number => {
  const status = STATUSES[reason];
  closeWithResponse(socket, {
    status: `${status} ${STATUS_CODES[status] ?? ''}`,
    headers: {
      'content-length': '0',
      ...(status === HTTP_UNAVAILABLE ? { 'retry-after': RETRY_AFTER_SECONDS } : {}),
    },
    body: '',
  });
  return status;
};
