import type { TrackedRequest } from './trackedRequest.js';

/** Whether nobody waits for the request any more, so that no target may get it. */
export const isTimeOver = (
  { deadlineAtMs, patienceAtMs, hasBegun }: TrackedRequest,
  nowMs: number,
): boolean => nowMs >= deadlineAtMs || (!hasBegun && nowMs >= patienceAtMs);
