import { releaseHead } from './releaseHead.js';
import type { TrackedConnection } from './trackedConnection.js';

/** Releases the heads of a connection's requests, none of which is served any more. */
export const releaseRequests = ({ openRequests }: TrackedConnection): void => {
  openRequests.forEach(({ request }) => {
    releaseHead(request);
  });
};
