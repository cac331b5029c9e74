import type { TrackedRequest } from './trackedRequest.js';

/** The request without its current send, so that it waits again. */
export const removeSend = (request: TrackedRequest): TrackedRequest => {
  const { send, ...rest } = request;
  return send === undefined ? request : rest;
};
