import type { RecentRate } from './recentRate.js';

/** Time constant: short, so that the beginning of a burst counts in full. */
const DECAY_MS = 100;

/** Decays a rate to a later moment and adds new arrivals. */
export const decayRecentRate = (
  rate: RecentRate | undefined,
  nowMs: number,
  arrivals = 0,
): RecentRate => {
  const { perMs, atMs } = rate ?? { perMs: 0, atMs: nowMs };
  const left = Math.exp(-Math.max(0, nowMs - atMs) / DECAY_MS);
  return { perMs: perMs * left + arrivals / DECAY_MS, atMs: nowMs };
};
