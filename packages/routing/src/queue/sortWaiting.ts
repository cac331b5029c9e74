import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { ServicePace } from '../targets/servicePace.js';

const isLate = (request: TrackedRequest, pace: ServicePace, nowMs: number): boolean =>
  nowMs + request.promptTokens * pace.prefillMsPerToken > request.objectiveAtMs;

/**
 * The order in which waiting work is started: by tier; within one, first what can still be on time, the nearest
 * objective first, then what is late already.
 */
export const sortWaiting = (
  waiting: Iterable<TrackedRequest>,
  pace: ServicePace,
  nowMs: number,
): readonly TrackedRequest[] => {
  const ranked = [...waiting].map((request) => ({
    request,
    lateness: isLate(request, pace, nowMs) ? 1 : 0,
  }));
  ranked.sort(
    (left, right) =>
      left.request.tier - right.request.tier ||
      left.lateness - right.lateness ||
      left.request.objectiveAtMs - right.request.objectiveAtMs,
  );
  return ranked.map(({ request }) => request);
};
