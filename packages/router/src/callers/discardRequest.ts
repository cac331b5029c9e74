import type { IncomingMessage } from 'node:http';

const dropPart = (): boolean => true;

/**
 * Releases the header lines of a request that is not served, and keeps nothing of its body: each part would take an object,
 * however small it is. The HTTP server keeps the request itself until its connection is closed, which its caller may put
 * off.
 */
export const discardRequest = (request: IncomingMessage): void => {
  request.rawHeaders = [];
  request.headers = {};
  request.push = dropPart;
};
