import type { TrackedRequest } from './trackedRequest.js';

/** Whether the caller has given up waiting, so that the request must not be sent to a target any more. */
export const isExpired = (
  { deadlineAtMs, responseStartDeadlineAtMs, hasResponseStarted }: TrackedRequest,
  nowMs: number,
): boolean => nowMs >= deadlineAtMs || (!hasResponseStarted && nowMs >= responseStartDeadlineAtMs);
