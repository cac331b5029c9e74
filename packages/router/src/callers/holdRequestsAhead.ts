import type { TrackedConnection } from './trackedConnection.js';

/** States the memory of a connection's requests ahead, with what has arrived of their bodies. */
export const holdRequestsAhead = ({ account, openRequests }: TrackedConnection): void => {
  const bytes = openRequests
    .slice(1)
    .reduce(
      (sum, { headBytes, waitingBody }) => sum + headBytes + (waitingBody?.getCapacity() ?? 0),
      0,
    );
  account.hold('requestsAhead', bytes);
};
