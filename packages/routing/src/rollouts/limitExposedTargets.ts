import type { Candidate } from '../targets/candidate.js';

/** The part of the new targets that is used while they get only a share of the requests, as a multiple of the share. */
const TARGETS_PER_SHARE = 2;
/** With fewer targets, a single slow host would decide on the version. */
const MIN_TARGETS = 3;

/**
 * The targets of a new version that get requests while it is only exposed. They are few, so that each carries a load like
 * that of the old ones, and the same at all entries.
 */
export const limitExposedTargets = (
  exposed: readonly Candidate[],
  maxShare: number,
): readonly Candidate[] => {
  const count = Math.max(MIN_TARGETS, Math.ceil(TARGETS_PER_SHARE * maxShare * exposed.length));
  return exposed.length <= count
    ? exposed
    : [...exposed]
        .sort((left, right) => (left.target.listed.id < right.target.listed.id ? -1 : 1))
        .slice(0, count);
};
