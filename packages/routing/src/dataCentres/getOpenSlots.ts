import type { RoutingState } from '../routingState.js';
import type { DataCentreRoom } from './dataCentreRoom.js';
import { getCrossingAllowance } from './getCrossingAllowance.js';

/**
 * The number of requests for a service that this entry may send now to each other data centre that is open to it: what
 * is left of its allowance, at most the free slots within its limits. While all targets at home are on cooldown, the
 * allowance does not count, since requests would wait for the end of the cooldown beside free slots.
 */
export const getOpenSlots = ({
  state: { crossings, settings },
  service,
  rooms,
  entries,
  isHomeAvailable,
}: {
  readonly state: RoutingState;
  readonly service: string;
  readonly rooms: ReadonlyMap<string, DataCentreRoom>;
  /** Entries outside of a data centre, which may send there at the same time. */
  readonly entries: number;
  /** A target at home is not on cooldown. */
  readonly isHomeAvailable: boolean;
}): ReadonlyMap<string, number> => {
  const open = new Map<string, number>();
  for (const [dataCentre, room] of rooms) {
    const crossing = crossings.get(service)?.get(dataCentre);
    if (crossing?.isOpen !== true) {
      continue;
    }
    const key = `${settings.host}\u0000${service}\u0000${dataCentre}`;
    const left = getCrossingAllowance({ crossing, room, entries, key }) - crossing.sent;
    const slots = isHomeAvailable ? Math.min(left, room.sendableSlots) : room.sendableSlots;
    if (slots > 0) {
      open.set(dataCentre, slots);
    }
  }
  return open;
};
