import type { TargetPrediction } from './targetPrediction.js';

/** The prediction with the lowest cost; undefined if there are none. */
export const findCheapest = (
  predictions: readonly TargetPrediction[],
  getCostMs: (prediction: TargetPrediction) => number,
): TargetPrediction | undefined =>
  predictions.reduce<TargetPrediction | undefined>(
    (best, next) => (best === undefined || getCostMs(next) < getCostMs(best) ? next : best),
    undefined,
  );
