import { discardRequest } from './discardRequest.js';
import type { TrackedConnection } from './trackedConnection.js';

/**
 * Discards the requests of a connection that is being closed. One that was passed to the scheduler keeps its head: it may be
 * sent before the scheduler learns that its caller is gone, and then has to be sent whole.
 */
export const releaseRequests = ({ account, openRequests }: TrackedConnection): void => {
  openRequests.slice(account.isServing() ? 1 : 0).forEach(({ request }) => {
    discardRequest(request);
  });
};
