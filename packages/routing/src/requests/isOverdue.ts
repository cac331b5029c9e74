import type { TrackedRequest } from './trackedRequest.js';

/**
 * Whether a request must end because its time is up. What is under way, at a target or in the caller's response, ends
 * only once the deadline has certainly passed, since the moment of the arrival may be an estimate.
 */
export const isOverdue = (
  { deadlineAtMs, latestDeadlineAtMs, send, hasResponseStarted }: TrackedRequest,
  nowMs: number,
): boolean => {
  const isUnderWay = send !== undefined || hasResponseStarted;
  return nowMs >= (isUnderWay ? latestDeadlineAtMs : deadlineAtMs);
};
