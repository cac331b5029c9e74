import type { Confirmation } from './confirmation.js';

/**
 * How old a confirmation may be, in milliseconds. The steady clock stands still while a host is suspended and the
 * time of day may be set back, so the longer of both counts.
 */
export const getConfirmationAgeMs = (confirmed: Confirmation, now: Confirmation): number =>
  Math.max(now.steadyMs - confirmed.steadyMs, now.wallMs - confirmed.wallMs);
