import { clamp } from '@parsleyhall/common';

const MIN_RETRY_AFTER_MS = 250;
const MAX_RETRY_AFTER_MS = 4_000;

/** The retry-after of a refused request: the wait that was predicted for it, within bounds. */
export const getRetryAfterMs = (waitMs: number): number =>
  Math.round(clamp(waitMs, MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS));
