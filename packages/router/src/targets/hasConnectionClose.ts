import type { IncomingHttpHeaders } from 'node:http';

/** Whether a target closes the connection after this response. */
export const hasConnectionClose = (headers: IncomingHttpHeaders): boolean =>
  headers.connection?.toLowerCase().includes('close') ?? false;
