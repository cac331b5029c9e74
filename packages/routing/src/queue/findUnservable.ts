import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { RoutingState } from '../routingState.js';
import { predictDurationMs } from '../targets/predictDurationMs.js';
import { getLatencyModel } from '../targets/getLatencyModel.js';
import { predictFirstEventMs } from '../targets/predictFirstEventMs.js';
import type { PredictedWait } from './predictedWait.js';
import { createWaitPredictor } from './createWaitPredictor.js';
import { sortByRank } from './sortByRank.js';

/**
 * Waiting requests of a service that already miss their objective and are predicted to start too late for their
 * callers.
 */
export const findUnservable = (
  state: RoutingState,
  service: string,
  nowMs: number,
): readonly { readonly request: TrackedRequest; readonly wait: PredictedWait }[] => {
  const queue = state.waiting.get(service);
  if (queue === undefined || queue.isEmpty()) {
    return [];
  }
  const latencyModel = getLatencyModel(state, service);
  const predict = createWaitPredictor(state, service, nowMs);
  let workMs = 0;
  return sortByRank(queue.values(), latencyModel, nowMs).flatMap((rankedRequest, count) => {
    const { request } = rankedRequest;
    const wait = predict(rankedRequest, { count, workMs });
    workMs += predictDurationMs(request, latencyModel);
    const firstEventAtMs = nowMs + wait.waitMs + predictFirstEventMs(request, latencyModel);
    const isUnservable =
      !request.hasResponseStarted &&
      rankedRequest.isLate &&
      firstEventAtMs > request.responseStartDeadlineAtMs;
    return isUnservable ? [{ request, wait }] : [];
  });
};
