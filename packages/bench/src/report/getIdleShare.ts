import type { EngineStats } from '@parsleyhall/stand-ins';

/** Mean share of the engines' time without a step between two readings, from 0 to 1. */
export const getIdleShare = (
  before: readonly EngineStats[],
  after: readonly EngineStats[],
): number => {
  const shares = after.map((later, place) => {
    const busyMs = later.busyMs - (before[place]?.busyMs ?? 0);
    const elapsedMs = later.elapsedMs - (before[place]?.elapsedMs ?? 0);
    return Math.max(0, 1 - busyMs / elapsedMs);
  });
  return shares.reduce((sum, share) => sum + share, 0) / Math.max(1, shares.length);
};
