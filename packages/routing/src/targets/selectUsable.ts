import type { TrackedRequest } from '../requests/trackedRequest.js';
import { getUsableTimeMs } from './getUsableTimeMs.js';
import type { TargetPrediction } from './targetPrediction.js';

/**
 * Leaves out targets that are too slow to finish in time, unless all are, so that long requests wait for a fast target.
 */
export const selectUsable = (
  request: TrackedRequest,
  predictions: readonly TargetPrediction[],
  nowMs: number,
): readonly TargetPrediction[] => {
  const usableTimeMs = getUsableTimeMs(request, nowMs);
  const fitting = predictions.filter(({ durationMs }) => durationMs <= usableTimeMs);
  return fitting.length === 0 ? predictions : fitting;
};
