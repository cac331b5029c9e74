import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { Candidate } from '../targets/candidate.js';
import { getUniformNumber } from './getUniformNumber.js';

/**
 * The factor on the predicted cost of a request at a target, at least 1. The raise is exponentially distributed over
 * requests and targets, so the lowest of several equal costs falls on each target in proportion to its free share.
 */
export const getSpreadFactor = (
  { spreadSeed }: Pick<TrackedRequest, 'spreadSeed'>,
  { target, spread }: Candidate,
): number =>
  spread === 0 ? 1 : 1 - spread * Math.log(getUniformNumber(spreadSeed, target.spreadHash));
