import type { Wait } from './wait.js';

const TENTHS = 10;

const roundSlots = (slots: number): number => Math.round(slots * TENTHS) / TENTHS;

/** Fields of a log line that tell of a predicted wait. */
export const describeWait = ({ waitMs, heldSlots, urgentSlots }: Wait): Wait => ({
  waitMs: Number.isFinite(waitMs) ? Math.round(waitMs) : -1,
  heldSlots: roundSlots(heldSlots),
  urgentSlots: roundSlots(urgentSlots),
});
