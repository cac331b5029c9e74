import type { IncomingHttpHeaders } from 'node:http';
import type { EventFormat } from './eventFormat.js';
import type { ResponseHeaders } from './responseHeaders.js';
import type { RequestHeaders } from './requestHeaders.js';

/** Reads and writes what callers, entries and targets exchange: headers, and the format of events. */
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
  readonly eventFormat: EventFormat;
  readonly readResponseHeaders: (status: number, headers: IncomingHttpHeaders) => ResponseHeaders;
}
