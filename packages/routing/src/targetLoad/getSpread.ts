/** The mean raise, as a share, if the other entries are expected to fill the free slots once. */
const SPREAD = 0.3;
/** A greater raise would hide that a target is several times slower. */
const MAX_SPREAD = 1;

/**
 * The mean share by which a target's predicted cost is raised, so that entries that have read the same report choose
 * different targets. It grows with the requests that the others may send before they hear of one another's, and falls with
 * the free slots.
 */
export const getSpread = (freeSlots: number, unheardSends: number): number =>
  Math.min(MAX_SPREAD, (SPREAD * unheardSends) / Math.max(1, freeSlots));
