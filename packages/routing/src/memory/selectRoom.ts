import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { Candidate } from '../targets/candidate.js';
import { fitsInto } from './fitsInto.js';
import { getRoom } from './getRoom.js';
import type { MemoryHold } from './memoryHold.js';

const hasNoSendsLeft = ({ sendsLeft = Infinity }: Candidate): boolean => sendsLeft <= 0;

/**
 * The candidates, without free slots where the request does not fit, where memory is kept for another one, or where this
 * entry has sent its share of contested slots; none if no slot is left, which saves the predictions. Those without a slot are
 * kept beside others, since a long request waits for a target that is fast enough.
 */
export const selectRoom = (
  candidates: readonly Candidate[],
  request: TrackedRequest,
  hold: MemoryHold | undefined,
): readonly Candidate[] => {
  if (
    candidates.every((candidate) => candidate.memory === undefined && !hasNoSendsLeft(candidate))
  ) {
    return candidates;
  }
  const heldTargetId = hold?.requestId === request.requestId ? undefined : hold?.targetId;
  const selected = candidates.map((candidate) =>
    !hasNoSendsLeft(candidate) &&
    candidate.target.listed.id !== heldTargetId &&
    fitsInto(request, getRoom([candidate]))
      ? candidate
      : { ...candidate, freeSlots: 0 },
  );
  return selected.some(({ freeSlots }) => freeSlots > 0) ? selected : [];
};
