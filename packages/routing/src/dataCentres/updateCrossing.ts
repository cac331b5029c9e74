import type { Crossing } from './crossing.js';
import type { DataCentreRoom } from './dataCentreRoom.js';
import { getReservedSlots } from './getReservedSlots.js';

/**
 * A closed data centre opens at this multiple of the reserve, so that the flow does not start and stop with each
 * request.
 */
const OPENING_FACTOR = 2;

/** Opens or closes a data centre to requests from this entry by its room, and begins a new period if one is due. */
export const updateCrossing = (
  known: Crossing | undefined,
  room: DataCentreRoom,
  periodMs: number,
  nowMs: number,
): Crossing => {
  const reservedSlots = getReservedSlots(room);
  const isOpen =
    room.freeSlots >= OPENING_FACTOR * reservedSlots ||
    (known?.isOpen === true && room.freeSlots > reservedSlots);
  if (known === undefined || nowMs - known.periodStartMs >= periodMs) {
    return { isOpen, periodStartMs: nowMs, sent: 0 };
  }
  return isOpen === known.isOpen ? known : { ...known, isOpen };
};
