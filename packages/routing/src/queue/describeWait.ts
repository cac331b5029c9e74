import type { PredictedWait } from './predictedWait.js';

/** Rounds the logged slots to tenths. */
const ROUNDING_FACTOR = 10;

const roundSlots = (slots: number): number => Math.round(slots * ROUNDING_FACTOR) / ROUNDING_FACTOR;

/** The log fields that describe a predicted wait; `waitMs` is -1 if the wait is infinite. */
export const describeWait = ({ waitMs, heldSlots, urgentSlots }: PredictedWait): PredictedWait => ({
  waitMs: Number.isFinite(waitMs) ? Math.round(waitMs) : -1,
  heldSlots: roundSlots(heldSlots),
  urgentSlots: roundSlots(urgentSlots),
});
