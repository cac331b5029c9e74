import type { TargetPrediction } from './targetPrediction.js';

/** Whether the target takes a request of this entry now. */
export const hasFreeSlot = ({ candidate: { freeSlots } }: TargetPrediction): boolean =>
  freeSlots > 0;
