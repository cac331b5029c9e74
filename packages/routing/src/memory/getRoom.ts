import type { Candidate } from '../targets/candidate.js';
import type { Room } from './room.js';

const NO_ROOM: Room = { freeTokens: -Infinity, emptyTokens: -Infinity };

/** The room of the roomiest of these targets that have a free slot. */
export const getRoom = (candidates: readonly Candidate[]): Room =>
  candidates.reduce<Room>((room, { memory, freeSlots }) => {
    if (freeSlots <= 0) {
      return room;
    }
    if (memory === undefined) {
      return { freeTokens: Infinity, emptyTokens: Infinity };
    }
    const emptyTokens = memory.isFillable ? memory.totalTokens : -Infinity;
    return {
      freeTokens: Math.max(room.freeTokens, memory.freeTokens),
      emptyTokens: Math.max(room.emptyTokens, emptyTokens),
    };
  }, NO_ROOM);
