import type { Refusal } from './refusal.js';
import type { TrackedRequest } from './trackedRequest.js';

/** Sent as Retry-After: a retry is admitted by the new configuration. */
const RETRY_MS = 100;

/** The refusal of a request whose key was withdrawn, or given to another team, after its admission. */
export const getKeyChangedRefusal = ({ mayHaveRun }: TrackedRequest): Refusal =>
  mayHaveRun
    ? { status: 502, reason: 'outcomeUnknown' }
    : { status: 503, reason: 'keyChanged', retryAfterMs: RETRY_MS };
