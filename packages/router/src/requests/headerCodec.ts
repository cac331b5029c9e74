import type { IncomingHttpHeaders } from 'node:http';
import type { ResponseHeaders } from './responseHeaders.js';
import type { RequestHeaders } from './requestHeaders.js';

/** Reads and writes the headers that callers, entries and targets exchange. */
export interface HeaderCodec {
  readonly readRequestHeaders: (headers: IncomingHttpHeaders) => RequestHeaders;
  /** Lower-case names of callers' headers that are not forwarded: a target gets them only with the entry's own values. */
  readonly reservedHeaders: ReadonlySet<string>;
  /** Returns alternating names and values of the headers that the entry adds to a request to a target. */
  readonly writeRequestHeaders: (call: {
    readonly remainingMs: number;
    readonly targetId: string;
    readonly team?: string;
    readonly lastEventId?: string;
  }) => readonly string[];
  readonly readResponseHeaders: (status: number, headers: IncomingHttpHeaders) => ResponseHeaders;
}
