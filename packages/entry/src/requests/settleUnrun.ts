import { assertNever } from '@parsleyhall/common';
import type { EntryScope } from '../entryScope.js';
import type { EntryStep } from '../entryStep.js';
import { getRetryAfterMs } from '../pools/getRetryAfterMs.js';
import { askFate } from './askFate.js';
import { failRequest } from './failRequest.js';
import { failUnknown } from './failUnknown.js';
import { placeAgain } from './placeAgain.js';
import type { TrackedRequest } from './trackedRequest.js';

/** Carries out what was decided about a request whose grant is in doubt. */
export const settleUnrun = (
  scope: EntryScope,
  step: EntryStep,
  tracked: TrackedRequest,
  verdict: 'ask' | 'outcomeUnknown' | 'notRun' | 'placeAgain',
): EntryStep => {
  switch (verdict) {
    case 'ask':
      return askFate(scope, step, tracked);
    case 'outcomeUnknown':
      return failUnknown(scope, step, tracked);
    case 'notRun':
      return failRequest(scope, step, tracked, {
        type: 'notRun',
        reason: 'noTarget',
        retryAfterMs: getRetryAfterMs(step.state, tracked.request),
      });
    case 'placeAgain':
      return placeAgain(scope, step, tracked);
    default:
      return assertNever(verdict);
  }
};
