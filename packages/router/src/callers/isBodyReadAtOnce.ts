import type { TrackedConnection } from './trackedConnection.js';

/** Whether the next bytes of a connection belong to a body whose reader takes each part at once. */
export const isBodyReadAtOnce = (connection: TrackedConnection | undefined): boolean => {
  const [current, ...ahead] = connection?.openRequests ?? [];
  if (current === undefined || ahead.length > 0) {
    return false;
  }
  const { complete, readableFlowing, readableLength } = current.request;
  return !complete && readableFlowing === true && readableLength === 0;
};
