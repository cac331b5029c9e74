import type { ClockReading } from '@parsleyhall/routing';

/** Reads the monotonic clock and the wall clock of this process, in milliseconds. */
export const getClocks = (): ClockReading => ({
  monotonicMs: performance.now(),
  wallMs: Date.now(),
});
