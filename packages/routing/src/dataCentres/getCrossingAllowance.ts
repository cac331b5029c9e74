import { computeFingerprint } from '@parsleyhall/common';
import type { Crossing } from './crossing.js';
import type { DataCentreRoom } from './dataCentreRoom.js';
import { getReservedSlots } from './getReservedSlots.js';

/**
 * The share of the room in another data centre that all entries outside of it use together within a period. None of them
 * sees the sends of the others before the period is over, and the callers of that data centre use the room as well.
 */
const ROOM_SHARE_PER_PERIOD = 0.5;
const FINGERPRINT_RANGE = 2 ** 32;

/**
 * The number of requests that this entry may send to another data centre in the current period. A fraction of a
 * request is rounded up or down by chance, anew in each period and at each entry, so that the share holds on average.
 */
export const getCrossingAllowance = ({
  crossing,
  room,
  entries,
  key,
}: {
  readonly crossing: Crossing;
  readonly room: DataCentreRoom;
  /** Entries outside of the data centre, which may send there at the same time. */
  readonly entries: number;
  /** Identifies this entry, the service and the data centre. */
  readonly key: string;
}): number => {
  if (!crossing.isOpen) {
    return 0;
  }
  const usableSlots = Math.max(0, room.freeSlots + crossing.sent - getReservedSlots(room));
  const share = (ROOM_SHARE_PER_PERIOD * usableSlots) / entries;
  const rounding = computeFingerprint(`${key}\u0000${crossing.periodStartMs}`) / FINGERPRINT_RANGE;
  return Math.floor(share + rounding);
};
