import type { Target } from './target.js';

/** The median pace of the targets that have one; undefined where none has. */
export const getPoolPaceMs = (targets: readonly Target[]): number | undefined => {
  const paces = targets
    .map(({ paceMs }) => paceMs)
    .filter((paceMs) => paceMs !== undefined)
    .sort((left, right) => left - right);
  return paces[Math.floor(paces.length / 2)];
};
