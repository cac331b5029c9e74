import type { EntryState } from '../entryState.js';
import type { TrackedRequest } from '../requests/trackedRequest.js';

/** Stops waiting for records of the request's key. */
export const forgetWaiter = (state: EntryState, tracked: TrackedRequest): EntryState => {
  const { claim, request } = tracked;
  const partition = claim === undefined ? undefined : state.partitions.get(claim.partition);
  const waiters = claim === undefined ? undefined : partition?.waiters.get(claim.key);
  if (claim === undefined || partition === undefined || waiters === undefined) {
    return state;
  }
  const left = waiters.filter((requestId) => requestId !== request.requestId);
  const changed =
    left.length === 0
      ? partition.waiters.delete(claim.key)
      : partition.waiters.set(claim.key, left);
  return {
    ...state,
    partitions: state.partitions.set(claim.partition, { ...partition, waiters: changed }),
  };
};
