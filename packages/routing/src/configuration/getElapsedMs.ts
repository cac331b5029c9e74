import type { ClockReading } from './clockReading.js';

/**
 * The time since an earlier reading of the clocks. The monotonic clock stops while a host is suspended and the wall
 * clock may be set back, so the longer of the two times is returned.
 */
export const getElapsedMs = (earlier: ClockReading, now: ClockReading): number =>
  Math.max(now.monotonicMs - earlier.monotonicMs, now.wallMs - earlier.wallMs);
