import type { LeavingState } from './leavingState.js';

/** A process that takes new work. */
export const NOT_LEAVING: LeavingState = {
  isHostLeaving: false,
  isDrained: false,
  isStopRequested: false,
  hasStopped: false,
};
