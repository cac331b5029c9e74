import type { Confirmation } from './confirmation.js';

/**
 * The time since an earlier reading of the clocks. The monotonic clock stops while a host is suspended and the wall
 * clock may be set back, so the longer of the two times is returned.
 */
export const getElapsedMs = (earlier: Confirmation, now: Confirmation): number =>
  Math.max(now.steadyMs - earlier.steadyMs, now.wallMs - earlier.wallMs);
