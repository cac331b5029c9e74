import type { IncomingHttpHeaders } from 'node:http';

const HEADERS_NOT_FORWARDED = new Set([
  'authorization',
  'connection',
  'content-length',
  'expect',
  'host',
  'keep-alive',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'x-deadline-ms',
  'x-fencing-offset',
  'x-kind',
  'x-request-id',
  'x-team',
  'x-tier',
]);

/** Selects the headers to forward to the target: no credentials, hop-by-hop headers or scheduler headers. */
export const selectRequestHeaders = (
  headers: IncomingHttpHeaders,
): Readonly<Record<string, string>> =>
  Object.fromEntries(
    Object.entries(headers).flatMap(([name, value]) =>
      value === undefined || HEADERS_NOT_FORWARDED.has(name)
        ? []
        : [[name, Array.isArray(value) ? value.join(', ') : value] as const],
    ),
  );
