import type { Target } from './target.js';

/** The median service time of the targets for which one is known; undefined if there are none. */
export const getMedianServiceTimeMs = (targets: readonly Target[]): number | undefined => {
  const serviceTimesMs = targets
    .map(({ serviceTimeMs }) => serviceTimeMs)
    .filter((serviceTimeMs) => serviceTimeMs !== undefined)
    .sort((left, right) => left - right);
  return serviceTimesMs[Math.floor(serviceTimesMs.length / 2)];
};
