import type { TrackedRequest } from '../requests/trackedRequest.js';

/** The time since the arrival of a request as a share of the time to its objective; at least 0. */
export const getWaitedShare = (
  { arrivedAtMs, objectiveAtMs }: Pick<TrackedRequest, 'arrivedAtMs' | 'objectiveAtMs'>,
  nowMs: number,
): number => Math.max(0, nowMs - arrivedAtMs) / Math.max(1, objectiveAtMs - arrivedAtMs);
