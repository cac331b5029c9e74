import type { IncomingHttpHeaders } from 'node:http';

/** Whether a response has a length or chunks; otherwise it ends with its connection. */
export const hasFramingHeaders = (headers: IncomingHttpHeaders): boolean =>
  headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
