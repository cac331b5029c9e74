import { discardRequest } from './discardRequest.js';
import type { TrackedConnection } from './trackedConnection.js';

/** Discards the requests of a connection, none of which is served any more. */
export const releaseRequests = ({ openRequests }: TrackedConnection): void => {
  openRequests.forEach(({ request }) => {
    discardRequest(request);
  });
};
