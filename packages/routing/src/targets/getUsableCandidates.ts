import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { Candidate } from './candidate.js';

/** The candidates that a request was not sent to before; those on cooldown only if all of these are. */
export const getUsableCandidates = (
  candidates: readonly Candidate[],
  { triedTargetIds }: Pick<TrackedRequest, 'triedTargetIds'>,
  nowMs: number,
): readonly Candidate[] => {
  const untried = candidates.filter(({ target }) => !triedTargetIds.includes(target.listed.id));
  const available = untried.filter(({ target }) => target.cooldownUntilMs <= nowMs);
  return available.length === 0 ? untried : available;
};
