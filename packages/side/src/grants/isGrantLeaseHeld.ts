import type { Grant } from './grant.js';

/** Whether the lease of an outstanding grant still holds, also after a pause of the process. */
export const isGrantLeaseHeld = (grant: Grant, nowMs: number): boolean => nowMs < grant.expiresAtMs;
