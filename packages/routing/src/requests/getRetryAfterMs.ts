import { clamp } from '@parsleyhall/common';

const SHORTEST_MS = 250;
const LONGEST_MS = 4_000;

/** When a refused request has a chance again: once it would have been started, in milliseconds. */
export const getRetryAfterMs = (waitMs: number): number =>
  Math.round(clamp(waitMs, SHORTEST_MS, LONGEST_MS));
