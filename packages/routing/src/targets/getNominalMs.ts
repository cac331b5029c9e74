import type { TrackedRequest } from '../requests/trackedRequest.js';
import { isStream } from '../requests/isStream.js';
import { getPrefillMs } from './getPrefillMs.js';
import type { ServicePace } from './servicePace.js';

/** What the request takes at a middling target of its service, in milliseconds. */
export const getNominalMs = (request: TrackedRequest, pace: ServicePace): number =>
  isStream(request.route)
    ? getPrefillMs(request, pace) + request.outputTokens * pace.outputMsPerToken
    : pace.runMs;
