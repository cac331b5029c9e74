import type { EntryScope } from '../entryScope.js';
import type { EntryStep } from '../entryStep.js';
import { failRequest } from './failRequest.js';
import { getRetryAfterMs } from '../pools/getRetryAfterMs.js';
import { isHeldBack } from '../pools/isHeldBack.js';
import { placeRequest } from './placeRequest.js';
import { shedRequest } from './shedRequest.js';
import type { TrackedRequest } from './trackedRequest.js';

/**
 * Sends a request that certainly did not run back to waiting. One past its deadline gets its final answer, and so does one
 * of a tier below which a higher one was shed meanwhile.
 */
export const placeAgain = (
  scope: EntryScope,
  step: EntryStep,
  tracked: TrackedRequest,
): EntryStep => {
  if (scope.nowMs >= tracked.request.deadlineMs) {
    return failRequest(scope, step, tracked, {
      type: 'notRun',
      reason: 'deadlineExceeded',
      retryAfterMs: getRetryAfterMs(step.state, tracked.request),
    });
  }
  return isHeldBack(scope, step.state, tracked.request)
    ? shedRequest(scope, step, tracked)
    : placeRequest(scope, step, tracked);
};
