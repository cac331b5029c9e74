import { computeFingerprint } from './computeFingerprint.js';

/** Orders candidates for a key by rendezvous hashing, so that all processes agree on the order without coordination. */
export const rankByRendezvous = <Candidate extends string>(
  key: string,
  candidates: readonly Candidate[],
): readonly Candidate[] =>
  candidates
    .map((candidate) => ({ candidate, weight: computeFingerprint(`${key}\u0000${candidate}`) }))
    .sort(
      (left, right) => right.weight - left.weight || (left.candidate < right.candidate ? -1 : 1),
    )
    .map(({ candidate }) => candidate);
