import type { IncomingMessage } from 'node:http';

/**
 * Releases the header lines of a request that is not served. The HTTP server keeps the request itself until its connection
 * is closed, which its caller may put off.
 */
export const releaseHead = (request: IncomingMessage): void => {
  request.rawHeaders = [];
  request.headers = {};
};
