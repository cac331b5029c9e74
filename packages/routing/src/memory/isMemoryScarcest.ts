import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { Candidate } from '../targets/candidate.js';
import { fitsInto } from './fitsInto.js';
import { getRoom } from './getRoom.js';

const sum = (numbers: readonly number[]): number =>
  numbers.reduce((total, number) => total + number, 0);

/**
 * Whether waiting requests compete for memory rather than for slots: one fits into no target with a free slot, or all of
 * them together need more than the free memory, and they need a larger multiple of it than of the free slots.
 */
export const isMemoryScarcest = (
  waiting: readonly TrackedRequest[],
  candidates: readonly Candidate[],
): boolean => {
  const room = getRoom(candidates);
  if (!Number.isFinite(room.freeTokens)) {
    return false;
  }
  const withSlots = candidates.filter(({ freeSlots }) => freeSlots > 0);
  const freeTokens = sum(withSlots.map(({ memory }) => Math.max(0, memory?.freeTokens ?? 0)));
  const freeSlots = sum(withSlots.map((candidate) => candidate.freeSlots));
  const neededTokens = sum(waiting.map(({ heldTokens }) => heldTokens));
  const isShort = neededTokens > freeTokens || waiting.some((request) => !fitsInto(request, room));
  return isShort && neededTokens * freeSlots > waiting.length * freeTokens;
};
