import { assertNever } from '@parsleyhall/common';
import type { EntryScope } from '../entryScope.js';
import type { EntryStep } from '../entryStep.js';
import { getRetryAfterMs } from '../pools/getRetryAfterMs.js';
import type { NotRunReason } from '@parsleyhall/protocol';
import { sendToSide } from '../steps/sendToSide.js';
import { failRequest } from './failRequest.js';
import { failUnknown } from './failUnknown.js';
import { placeRequest } from './placeRequest.js';
import type { RequestPhase } from './requestPhase.js';
import { storeRequest } from './storeRequest.js';
import type { TrackedRequest } from './trackedRequest.js';
import { widenPlacement } from './widenPlacement.js';

const failNotRun = (
  scope: EntryScope,
  step: EntryStep,
  tracked: TrackedRequest,
  reason: NotRunReason,
): EntryStep =>
  failRequest(scope, step, tracked, {
    type: 'notRun',
    reason,
    retryAfterMs: getRetryAfterMs(step.state, tracked.request),
  });

const attendWaiting = (
  scope: EntryScope,
  step: EntryStep,
  tracked: TrackedRequest,
  phase: Extract<RequestPhase, { type: 'waiting' }>,
): EntryStep => {
  if (scope.nowMs >= tracked.request.deadlineMs) {
    return failNotRun(scope, step, tracked, 'deadlineExceeded');
  }
  if (phase.reservedAt.length > 0) {
    return widenPlacement(scope, step, tracked, phase);
  }
  if (scope.nowMs >= phase.patienceEndsAtMs) {
    return failNotRun(scope, step, tracked, 'noTarget');
  }
  return placeRequest(scope, step, tracked);
};

const attendBound = (
  scope: EntryScope,
  step: EntryStep,
  tracked: TrackedRequest,
  phase: Extract<RequestPhase, { type: 'given' | 'settling' }>,
): EntryStep => {
  const allowanceEndsAtMs = tracked.answer.lastByteAtMs + scope.settings.settleAllowanceMs;
  if (phase.type === 'given' && allowanceEndsAtMs > scope.nowMs) {
    return storeRequest(step, { ...tracked, dueAtMs: allowanceEndsAtMs });
  }
  const { requestId } = tracked.request;
  const cancelled = sendToSide(step, phase.side, {
    type: 'cancel',
    grantId: phase.grantId,
    requestId,
  });
  return failUnknown(scope, cancelled, tracked);
};

/** Attends to a request whose due time has come: widens, tries again, or gives the final answer. */
export const attendDueRequest = (
  scope: EntryScope,
  step: EntryStep,
  tracked: TrackedRequest,
): EntryStep => {
  const { phase } = tracked;
  switch (phase.type) {
    case 'claiming':
      return failNotRun(scope, step, tracked, 'logUnavailable');
    case 'joining':
      return failUnknown(scope, step, tracked);
    case 'waiting':
      return attendWaiting(scope, step, tracked, phase);
    case 'given':
    case 'settling':
      return attendBound(scope, step, tracked, phase);
    default:
      return assertNever(phase);
  }
};
