import type { PoolName } from '@parsleyhall/common';
import type { EntryScope } from '../entryScope.js';
import type { EntryStep } from '../entryStep.js';
import { forEachRequest } from './forEachRequest.js';
import { placeRequest } from './placeRequest.js';

const REQUESTS_PER_PASS = 64;

/** Tries again to place requests of a pool that have no reservation, a bounded number at a time. */
export const placeUnplaced = (scope: EntryScope, step: EntryStep, pool: PoolName): EntryStep => {
  const ids = [];
  for (const { id } of step.state.pools.get(pool)?.unplaced.values() ?? []) {
    ids.push(id);
    if (ids.length >= REQUESTS_PER_PASS) {
      break;
    }
  }
  return forEachRequest(step, ids, (current, tracked) => placeRequest(scope, current, tracked));
};
