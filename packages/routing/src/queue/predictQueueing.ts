import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { RoutingState } from '../routingState.js';
import { getLatencyModel } from '../targets/getLatencyModel.js';
import { predictFirstEventMs } from '../targets/predictFirstEventMs.js';
import { createWaitPredictor } from './createWaitPredictor.js';
import { getWorkAhead } from './getWorkAhead.js';
import type { QueuePrediction } from './queuePrediction.js';
import { rankRequest } from './rankRequest.js';

/** Predicts the queue position, wait and time to the first event of a request that is, or would be, queued now. */
export const predictQueueing = (
  state: RoutingState,
  request: TrackedRequest,
  nowMs: number,
): QueuePrediction => {
  const { service } = request;
  const latencyModel = getLatencyModel(state, service);
  const rankedRequest = rankRequest(request, latencyModel, nowMs);
  const workAhead = getWorkAhead(state, rankedRequest, nowMs);
  return {
    rankedRequest,
    requestsAhead: workAhead.count,
    ...createWaitPredictor(state, service, nowMs)(rankedRequest, workAhead),
    firstEventMs: predictFirstEventMs(request, latencyModel),
  };
};
