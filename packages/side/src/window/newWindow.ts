import type { WindowState } from './windowState.js';

/** The window before anything has been learned. */
export const newWindow = (requests: number): WindowState => ({
  requests,
  tokens: Number.POSITIVE_INFINITY,
  isStarting: true,
  changedAtMs: 0,
  stalledSinceMs: undefined,
  idleResponseMs: 0,
});
