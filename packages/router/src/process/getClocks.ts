import type { Confirmation } from '@parsleyhall/routing';

/** Reads the monotonic clock and the wall clock of this process, in milliseconds. */
export const getClocks = (): Confirmation => ({
  steadyMs: performance.now(),
  wallMs: Date.now(),
});
