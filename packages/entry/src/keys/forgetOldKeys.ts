import type { EntryScope } from '../entryScope.js';
import type { EntryState } from '../entryState.js';
import type { KeyPartition } from './keyPartition.js';

const KEYS_PER_PASS = 256;

const forgetIn = (partition: KeyPartition, beforeMs: number): KeyPartition => {
  let { keys, expiries } = partition;
  for (let count = 0; count < KEYS_PER_PASS; count += 1) {
    const first = expiries.first();
    if (first === undefined || first.rank > beforeMs) {
      break;
    }
    keys = keys.delete(first.id);
    expiries = expiries.without(first.rank, first.id);
  }
  return keys === partition.keys ? partition : { ...partition, keys, expiries };
};

/** Forgets keys whose age alone has them refused from now on. */
export const forgetOldKeys = (scope: EntryScope, state: EntryState): EntryState => ({
  ...state,
  partitions: state.partitions.map((partition) => forgetIn(partition, scope.wallMs)),
});
