import type { Reception } from './reception.js';
import { RECEPTION_WINDOW } from './receptionWindow.js';

/** The reception of an incarnation whose first frame has arrived; earlier frames do not count as missing. */
export const newReception = (frameNumber: number, nowMs: number): Reception => ({
  newestFrame: frameNumber,
  arrivedBits: 2 ** RECEPTION_WINDOW.keptFrames - 1,
  newestOwnFrame: frameNumber,
  heardAtMs: nowMs,
});
