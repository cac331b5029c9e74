import type { DataCentreRoom } from './dataCentreRoom.js';

/**
 * The slots to which this entry may send requests of a service now: the free ones at home and what it may send to open
 * data centres; all that it may send to if no target at home works.
 */
export const countUsableSlots = ({
  rooms,
  dataCentre,
  openSlots,
  isHomeWorking,
}: {
  readonly rooms: ReadonlyMap<string, DataCentreRoom>;
  /** This entry's data centre. */
  readonly dataCentre: string;
  readonly openSlots: ReadonlyMap<string, number>;
  readonly isHomeWorking: boolean;
}): number => {
  if (!isHomeWorking) {
    return [...rooms.values()].reduce((sum, { sendableSlots }) => sum + sendableSlots, 0);
  }
  const remoteSlots = [...openSlots.values()].reduce((sum, slots) => sum + slots, 0);
  return (rooms.get(dataCentre)?.sendableSlots ?? 0) + remoteSlots;
};
