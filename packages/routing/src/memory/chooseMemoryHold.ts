import type { TrackedRequest } from '../requests/trackedRequest.js';
import { getUniformNumber } from '../targetLoad/getUniformNumber.js';
import type { Candidate } from '../targets/candidate.js';
import type { MemoryHold } from './memoryHold.js';

/** A request that has waited for this share of the time to its objective gets memory kept. */
const DUE_SHARE = 0.25;
/** Memory is kept for this long at most, so that one request does not leave a target idle. */
const MAX_HOLD_MS = 3_000;
/** Entries choose among so many targets by chance, since memory that several keep at one of them adds up. */
const CHOICES = 3;
/** The share of a target's memory by which another one has to be roomier to be kept instead. */
const CLEARLY_MORE_SHARE = 0.2;

const getFreeTokens = ({ memory }: Candidate): number => memory?.freeTokens ?? -Infinity;

const isClearlyRoomier = (candidate: Candidate, than: Candidate): boolean =>
  getFreeTokens(candidate) - getFreeTokens(than) >
  CLEARLY_MORE_SHARE * (than.memory?.totalTokens ?? 0);

/**
 * Chooses the target whose memory is kept for a request that does not fit anywhere, so that smaller requests do not
 * fill each gap before it is large enough: one of those that have the most. Undefined while the request is not due, and
 * when it has been due for too long.
 */
export const chooseMemoryHold = (
  request: TrackedRequest,
  usable: readonly Candidate[],
  previous: MemoryHold | undefined,
  nowMs: number,
): MemoryHold | undefined => {
  const { requestId, heldTokens: tokens, arrivedAtMs, objectiveAtMs, spreadSeed } = request;
  const dueAtMs = arrivedAtMs + DUE_SHARE * (objectiveAtMs - arrivedAtMs);
  const untilMs = dueAtMs + MAX_HOLD_MS;
  const sorted = [...usable].sort((left, right) => getFreeTokens(right) - getFreeTokens(left));
  const [roomiest] = sorted;
  if (roomiest?.memory === undefined || nowMs < dueAtMs || nowMs >= untilMs) {
    return undefined;
  }
  const kept =
    previous?.requestId === requestId
      ? usable.find(({ target }) => target.listed.id === previous.targetId)
      : undefined;
  if (kept !== undefined && !isClearlyRoomier(roomiest, kept)) {
    return previous;
  }
  const chosen = sorted
    .slice(0, CHOICES)
    .filter((candidate) => !isClearlyRoomier(roomiest, candidate))
    .map((candidate) => ({
      id: candidate.target.listed.id,
      draw: getUniformNumber(spreadSeed, candidate.target.spreadHash),
    }))
    .reduce((best, next) => (next.draw < best.draw ? next : best));
  return { requestId, targetId: chosen.id, tokens, untilMs };
};
