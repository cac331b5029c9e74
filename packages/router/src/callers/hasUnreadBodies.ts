import type { TrackedConnection } from './trackedConnection.js';

/** Whether a request keeps parts of its body that nobody has taken; true of a connection that is not tracked any more. */
export const hasUnreadBodies = (connection: TrackedConnection | undefined): boolean =>
  connection?.openRequests.some(({ request }) => request.readableLength > 0) ?? true;
