import { updateAverage } from '../targets/updateAverage.js';
import type { RequestKind } from './requestKind.js';
import type { ResponseTimes } from './responseTimes.js';

/** The least weight of a response, so that the mean follows a changing load. */
const MIN_WEIGHT = 0.05;
const MIN_RATIO = 0.001;

/** Adds a response of an old target to the mean with which responses are compared. */
export const addOldSample = (kind: RequestKind, { ratio }: ResponseTimes): RequestKind => {
  const oldSamples = kind.oldSamples + 1;
  const weight = Math.max(MIN_WEIGHT, 1 / oldSamples);
  const logRatio = Math.log(Math.max(MIN_RATIO, ratio));
  return {
    ...kind,
    oldSamples,
    oldRatioLogMean: updateAverage(kind.oldRatioLogMean, logRatio, weight),
  };
};
