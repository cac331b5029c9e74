import type { Map } from 'immutable';
import type { TrackedRequest } from '../requests/trackedRequest.js';
import { ALL_REQUESTS_GROUP } from './allRequestsGroup.js';
import { getSentShare } from './getSentShare.js';
import { getShareGroups } from './getShareGroups.js';
import type { ServedShare } from './servedShare.js';

/** The part of the share of all requests that are sent which each group gets at least. */
const FAIR_SHARE = 0.5;
/** How steeply the need grows as a group falls behind its fair share. */
const EXPONENT = 8;
/** Keeps the products with it finite. */
const MAX_NEED = 1_000_000;

/**
 * The factor by which a request ranks higher because fewer requests of its size or of its team are sent than is fair; 1 if
 * enough are.
 */
export const getNeed = (
  shares: Map<string, ServedShare>,
  request: TrackedRequest,
  meanSize: number | undefined,
): number => {
  const all = getSentShare(shares.get(ALL_REQUESTS_GROUP), 1);
  const least = getShareGroups(request, meanSize)
    .map((group) => getSentShare(shares.get(group), all))
    .reduce((left, right) => Math.min(left, right), all);
  const lag = (FAIR_SHARE * all) / Math.max(Number.EPSILON, least);
  return lag <= 1 ? 1 : Math.min(MAX_NEED, lag ** EXPONENT);
};
