import { computeFingerprint } from '@parsleyhall/common';
import { findCheapest } from '../targets/findCheapest.js';
import type { TargetPrediction } from '../targets/targetPrediction.js';
import { hasSpareSlot } from './hasSpareSlot.js';

/** Targets of at most this multiple of the lowest cost count as equally good. */
const EQUAL_COST_FACTOR = 1.25;
/** Parts of the keys by which the two targets to compare are drawn. */
const DRAWS = ['first', 'second'];

const getCostMs = ({ costMs }: TargetPrediction): number => costMs;

/**
 * Chooses one of the cheapest targets: the cheaper of two that are drawn by a key, since many entries choose by the same
 * information at the same time. A target's last free slot is chosen only if no target has more. Returns undefined if
 * there are none.
 */
export const chooseSpreadTarget = (
  predictions: readonly TargetPrediction[],
  key: string,
): TargetPrediction | undefined => {
  const spare = predictions.filter(hasSpareSlot);
  const preferred = spare.length === 0 ? predictions : spare;
  const lowestCostMs = Math.min(...preferred.map(getCostMs));
  const equal = preferred.filter(({ costMs }) => costMs <= EQUAL_COST_FACTOR * lowestCostMs);
  const drawn = DRAWS.flatMap(
    (draw) => equal[computeFingerprint(`${key}\u0000${draw}`) % Math.max(1, equal.length)] ?? [],
  );
  return findCheapest(drawn, getCostMs);
};
