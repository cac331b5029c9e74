import type { DataCentreRoom } from './dataCentreRoom.js';

/**
 * The number of requests that other entries send to a data centre before their digests show them to this entry, per free
 * slot that they may use. Assumes that each request in flight is followed by another when it ends.
 */
export const getContention = (
  room: DataCentreRoom,
  {
    liveEntries,
    meanDurationMs,
    periodMs,
    reservedSlots,
  }: {
    /** The number of all entries, this one included. */
    readonly liveEntries: number;
    readonly meanDurationMs: number;
    /** The time in which the sends of other entries are not seen. */
    readonly periodMs: number;
    /** Free slots that these requests leave to others. */
    readonly reservedSlots: number;
  },
): number => {
  const othersShare = (liveEntries - 1) / liveEntries;
  const unseenSends = (othersShare * room.inFlight * periodMs) / Math.max(1, meanDurationMs);
  const usableSlots = room.freeSlots - reservedSlots;
  if (unseenSends === 0) {
    return 0;
  }
  return usableSlots <= 0 ? Infinity : unseenSends / usableSlots;
};
