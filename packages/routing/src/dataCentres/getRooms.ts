import type { Candidate } from '../targets/candidate.js';
import type { DataCentreRoom } from './dataCentreRoom.js';

const NO_ROOM: DataCentreRoom = { slots: 0, freeSlots: 0, sendableSlots: 0, inFlight: 0 };

/** A target that reports itself full has no free slots, whatever is known to be in flight there. */
const getFreeSlots = ({ target, slots, totalInFlight, freeSlots }: Candidate): number =>
  target.load?.isFull === true ? freeSlots : Math.max(0, slots - totalInFlight);

const addTarget = (room: DataCentreRoom, candidate: Candidate): DataCentreRoom => ({
  slots: room.slots + candidate.slots,
  freeSlots: room.freeSlots + getFreeSlots(candidate),
  sendableSlots: room.sendableSlots + candidate.freeSlots,
  inFlight: room.inFlight + candidate.totalInFlight,
});

/** The room of a service by data centre, without targets on cooldown unless all are. */
export const getRooms = (
  candidates: readonly Candidate[],
  nowMs: number,
): ReadonlyMap<string, DataCentreRoom> => {
  const isOnCooldown = ({ target }: Candidate): boolean => target.cooldownUntilMs > nowMs;
  const areAllOnCooldown = candidates.every(isOnCooldown);
  const rooms = new Map<string, DataCentreRoom>();
  for (const candidate of candidates) {
    const { dataCentre } = candidate.target.listed;
    const room = rooms.get(dataCentre) ?? NO_ROOM;
    const isCounted = areAllOnCooldown || !isOnCooldown(candidate);
    rooms.set(dataCentre, isCounted ? addTarget(room, candidate) : room);
  }
  return rooms;
};
