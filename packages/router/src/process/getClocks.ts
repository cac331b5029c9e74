import type { Confirmation } from '@parsleyhall/routing';

/** Both clocks of this process, in milliseconds. */
export const getClocks = (): Confirmation => ({
  steadyMs: performance.now(),
  wallMs: Date.now(),
});
