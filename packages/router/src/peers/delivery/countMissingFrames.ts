import type { Reception } from './reception.js';
import { RECEPTION_WINDOW } from './receptionWindow.js';

const JUDGED_MASK = 2 ** (RECEPTION_WINDOW.keptFrames - RECEPTION_WINDOW.unjudgedFrames) - 1;

/** The number of recent frames that have not arrived on the path that serves everyone. */
export const countMissingFrames = ({ arrivedBits }: Reception): number => {
  let missingBits = ~(arrivedBits >> RECEPTION_WINDOW.unjudgedFrames) & JUDGED_MASK;
  let missing = 0;
  while (missingBits !== 0) {
    missingBits &= missingBits - 1;
    missing += 1;
  }
  return missing;
};
