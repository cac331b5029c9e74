import type { DataCentreRoom } from './dataCentreRoom.js';

/** The share of a data centre's slots that its own callers can always use at once. */
const RESERVED_SHARE = 0.05;
const MIN_RESERVED_SLOTS = 1;

/** The free slots of a data centre that requests from others must leave to its own callers. */
export const getReservedSlots = ({ slots }: DataCentreRoom): number =>
  Math.max(MIN_RESERVED_SLOTS, RESERVED_SHARE * slots);
