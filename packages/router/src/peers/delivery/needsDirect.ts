import { countMissingFrames } from './countMissingFrames.js';
import { GIVE_UP_AFTER_MS } from './giveUpAfter.js';
import type { Reception } from './reception.js';

/**
 * Of the 16 judged frames. A frame that is lost on the way to a relaying entry is missing in its whole data centre, so a
 * few lost ones must not make all of its entries ask for direct sends.
 */
const MAX_MISSING_FRAMES = 5;
/** Turns of the rotation in which an entry should have received a frame from the sender itself. */
const MAX_TURNS_WITHOUT_OWN_FRAME = 3;

/** Whether the frames of an entry in another data centre arrive too rarely, or only through others. */
export const needsDirect = (
  reception: Reception,
  {
    nowMs,
    resumedAtMs,
    silentAfterMs,
    entriesHere,
  }: {
    readonly nowMs: number;
    /** When this entry last resumed after a pause in which it read nothing. */
    readonly resumedAtMs: number;
    /** How long an entry may be silent. */
    readonly silentAfterMs: number;
    /** The number of entries in the receiver's data centre. */
    readonly entriesHere: number;
  },
): boolean => {
  const silentMs = nowMs - Math.max(reception.heardAtMs, resumedAtMs);
  const framesWithoutOwn = reception.newestFrame - reception.newestOwnFrame;
  return (
    countMissingFrames(reception) > MAX_MISSING_FRAMES ||
    framesWithoutOwn > MAX_TURNS_WITHOUT_OWN_FRAME * entriesHere ||
    (silentMs > silentAfterMs && silentMs < GIVE_UP_AFTER_MS)
  );
};
