import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { LatencyModel } from '../targets/latencyModel.js';
import { predictDurationMs } from '../targets/predictDurationMs.js';
import type { ResponseTimes } from './responseTimes.js';

const MIN_EXPECTED_MS = 1;

/**
 * How long the current response has taken by now; undefined if the request is not sent. The whole response counts and not
 * its first event, since a target that has just started has no prompts in its cache and begins later for a while.
 */
export const getResponseTimes = (
  request: TrackedRequest,
  latencyModel: LatencyModel,
  nowMs: number,
): ResponseTimes | undefined => {
  if (request.send === undefined) {
    return undefined;
  }
  const tookMs = nowMs - request.send.sentAtMs;
  const expectedMs = predictDurationMs(request, latencyModel);
  return { tookMs, ratio: tookMs / Math.max(MIN_EXPECTED_MS, expectedMs) };
};
