import type { EntryState } from '../entryState.js';
import type { TrackedRequest } from '../requests/trackedRequest.js';
import { newKeyPartition } from './newKeyPartition.js';

/** Waits for records of the request's key. */
export const rememberWaiter = (state: EntryState, tracked: TrackedRequest): EntryState => {
  const { claim, request } = tracked;
  if (claim === undefined) {
    return state;
  }
  const partition = state.partitions.get(claim.partition) ?? newKeyPartition();
  const waiters = partition.waiters.get(claim.key) ?? [];
  if (waiters.includes(request.requestId)) {
    return state;
  }
  const changed = partition.waiters.set(claim.key, [...waiters, request.requestId]);
  return {
    ...state,
    partitions: state.partitions.set(claim.partition, { ...partition, waiters: changed }),
  };
};
