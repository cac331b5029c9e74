import type { TrackedRequest } from './trackedRequest.js';

/** The request as one that waits again. */
export const withoutSend = (request: TrackedRequest): TrackedRequest => {
  const { send, ...rest } = request;
  return send === undefined ? request : rest;
};
