import type { Candidate } from '../targets/candidate.js';

/**
 * How long until a request that has this many ahead of it is started, in milliseconds: each target frees its slots
 * once per mean run, and this entry gets its part of them.
 */
export const predictWaitMs = ({
  ahead,
  candidates,
  runMs,
  entries,
}: {
  readonly ahead: number;
  readonly candidates: readonly Candidate[];
  readonly runMs: number;
  readonly entries: number;
}): number => {
  const slots = candidates.reduce((sum, { target }) => sum + target.listed.slots, 0);
  const free = candidates.reduce(
    (sum, { target, totalInFlight }) => sum + Math.max(0, target.listed.slots - totalInFlight),
    0,
  );
  const own = Math.max(1, slots / Math.max(1, entries));
  return (Math.max(0, ahead + 1 - free) * runMs) / own;
};
