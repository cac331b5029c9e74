import type { LeavingState } from './leavingState.js';

/** Whether new work may be taken: nothing says that the target or this process is leaving. */
export const acceptsNewWork = (leaving: LeavingState): boolean =>
  !leaving.isHostLeaving && !leaving.isDrained && !leaving.isStopRequested;
