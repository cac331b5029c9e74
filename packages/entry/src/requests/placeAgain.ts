import type { EntryScope } from '../entryScope.js';
import type { EntryStep } from '../entryStep.js';
import { failRequest } from './failRequest.js';
import { getRetryAfterMs } from '../pools/getRetryAfterMs.js';
import { placeRequest } from './placeRequest.js';
import type { TrackedRequest } from './trackedRequest.js';

/** Sends a request that certainly did not run back to waiting; one past its deadline gets its final answer. */
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
  return placeRequest(scope, step, tracked);
};
