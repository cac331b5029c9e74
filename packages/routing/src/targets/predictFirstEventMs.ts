import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { LatencyModel } from './latencyModel.js';

/**
 * The expected time from sending the request to the first event of its response at an average target of its service.
 */
export const predictFirstEventMs = (
  { promptTokens }: Pick<TrackedRequest, 'promptTokens'>,
  { firstEventMs, prefillMsPerToken }: LatencyModel,
): number => firstEventMs + promptTokens * prefillMsPerToken;
