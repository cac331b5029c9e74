import type { Map } from 'immutable';
import type { TrackedRequest } from '../requests/trackedRequest.js';
import { ALL_REQUESTS_GROUP } from './allRequestsGroup.js';
import { countInShare } from './countInShare.js';
import { getShareGroups } from './getShareGroups.js';
import type { ServedShare } from './servedShare.js';

/** Bounds the memory for groups; beyond it, the one that was counted least recently is dropped. */
const MAX_GROUPS = 256;

const dropOldest = (shares: Map<string, ServedShare>): Map<string, ServedShare> => {
  if (shares.size <= MAX_GROUPS) {
    return shares;
  }
  const [oldest] = [...shares].reduce((left, right) =>
    right[1].atMs < left[1].atMs ? right : left,
  );
  return shares.delete(oldest);
};

/** Counts an arrived or a sent request in its groups; keeps the number of groups bounded. */
export const countInGroups = (
  shares: Map<string, ServedShare>,
  request: TrackedRequest,
  meanSize: number | undefined,
  counted: 'arrived' | 'sent',
  nowMs: number,
): Map<string, ServedShare> =>
  [ALL_REQUESTS_GROUP, ...getShareGroups(request, meanSize)].reduce(
    (current, group) =>
      dropOldest(current.set(group, countInShare(current.get(group), counted, nowMs))),
    shares,
  );
