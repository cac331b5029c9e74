import type { TrackedRequest } from '../requests/trackedRequest.js';
import { isStream } from '../requests/isStream.js';
import { predictFirstEventMs } from './predictFirstEventMs.js';
import type { LatencyModel } from './latencyModel.js';

/** The expected time from sending the request to the end of its response at an average target of its service. */
export const predictDurationMs = (request: TrackedRequest, latencyModel: LatencyModel): number =>
  isStream(request.route)
    ? predictFirstEventMs(request, latencyModel) +
      request.expectedOutputTokens * latencyModel.outputMsPerToken
    : latencyModel.meanDurationMs;
