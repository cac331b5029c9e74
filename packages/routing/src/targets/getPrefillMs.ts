import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { ServicePace } from './servicePace.js';

/** From sending the request to its answer's first event, in milliseconds. */
export const getPrefillMs = (
  { promptTokens }: Pick<TrackedRequest, 'promptTokens'>,
  { firstMs, prefillMsPerToken }: ServicePace,
): number => firstMs + promptTokens * prefillMsPerToken;
