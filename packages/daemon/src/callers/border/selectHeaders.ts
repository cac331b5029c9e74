import type { IncomingHttpHeaders } from 'node:http';

const NOT_FORWARDED = new Set([
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

/** The caller's headers that go on to the target: no credentials, none of this hop, none of the scheduler's. */
export const selectHeaders = (headers: IncomingHttpHeaders): Readonly<Record<string, string>> =>
  Object.fromEntries(
    Object.entries(headers).flatMap(([name, value]) =>
      value === undefined || NOT_FORWARDED.has(name)
        ? []
        : [[name, Array.isArray(value) ? value.join(', ') : value] as const],
    ),
  );
