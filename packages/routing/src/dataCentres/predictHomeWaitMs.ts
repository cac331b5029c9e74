import type { LatencyModel } from '../targets/latencyModel.js';

/**
 * Predicts how long a request waits for a slot at home, in milliseconds; infinite if this entry has no requests there.
 * Slots become free for this entry at the rate at which its own requests there end.
 */
export const predictHomeWaitMs = (
  /** Slots there that this entry's requests use. */
  heldSlots: number,
  { meanDurationMs }: LatencyModel,
  workAheadMs: number,
): number => (heldSlots === 0 ? Infinity : (workAheadMs + meanDurationMs) / heldSlots);
