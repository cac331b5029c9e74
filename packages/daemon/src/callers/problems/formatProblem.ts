import { MS_PER_SECOND } from '@parsleyhall/common';
import type { Problem } from './problem.js';

/** Formats a problem as the status, headers and body of a response. */
export const formatProblem = (
  { retryAfterMs, ...document }: Problem,
  requestId?: string,
): {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
} => {
  const body = JSON.stringify({ ...document, requestId });
  const retryAfterHeader =
    retryAfterMs === undefined
      ? {}
      : { 'retry-after': String(Math.max(1, Math.ceil(retryAfterMs / MS_PER_SECOND))) };
  return {
    status: document.status,
    headers: {
      'content-type': 'application/problem+json',
      'content-length': String(Buffer.byteLength(body)),
      ...(requestId === undefined ? {} : { 'x-request-id': requestId }),
      ...retryAfterHeader,
    },
    body,
  };
};
