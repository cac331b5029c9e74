import type { TrackedRequest } from '../requests/trackedRequest.js';

/**
 * The share of the remaining time that a predicted duration may take, since outputs tend to be longer than expected.
 */
const USABLE_TIME_SHARE = 0.8;

/** The longest predicted duration with which a request is expected to end in time, in milliseconds. */
export const getUsableTimeMs = ({ deadlineAtMs }: TrackedRequest, nowMs: number): number =>
  (deadlineAtMs - nowMs) * USABLE_TIME_SHARE;
