import type { EntryScope } from '../entryScope.js';
import type { EntryStep } from '../entryStep.js';
import { RETRY_AFTER_UNKNOWN_MS } from '../retryAfterUnknownMs.js';
import { failRequest } from './failRequest.js';
import type { TrackedRequest } from './trackedRequest.js';

/** Tells the caller that its request may have run. */
export const failUnknown = (
  scope: EntryScope,
  step: EntryStep,
  tracked: TrackedRequest,
): EntryStep =>
  failRequest(scope, step, tracked, {
    type: 'outcomeUnknown',
    retryAfterMs: RETRY_AFTER_UNKNOWN_MS,
  });
