import type { TargetPrediction } from '../targets/targetPrediction.js';

/** Another entry may take one free slot at the same time. */
const MIN_SPARE_SLOTS = 2;

/** Whether the target still has a free slot if another entry sends there at the same time. */
export const hasSpareSlot = ({ candidate: { freeSlots } }: TargetPrediction): boolean =>
  freeSlots >= MIN_SPARE_SLOTS;
