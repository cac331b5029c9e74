import { assertNever } from '@parsleyhall/common';
import type { EntryScope } from '../entryScope.js';
import type { EntryStep } from '../entryStep.js';
import type { FinalFailure } from '../finalFailure.js';
import { endClaim } from '../keys/endClaim.js';
import { emit } from '../steps/emit.js';
import { endRequest } from './endRequest.js';
import type { TrackedRequest } from './trackedRequest.js';
import { withdrawReservations } from './withdrawReservations.js';

const settleClaim = (
  step: EntryStep,
  tracked: TrackedRequest,
  failure: FinalFailure,
): EntryStep => {
  switch (failure.type) {
    case 'notRun':
    case 'keyConflict':
      return endClaim(step, tracked, 'notRun');
    case 'outcomeUnknown':
      return endClaim(step, tracked, 'unknown');
    default:
      return assertNever(failure);
  }
};

/** Gives a request its final answer without a target's answer, at once. */
export const failRequest = (
  scope: EntryScope,
  step: EntryStep,
  tracked: TrackedRequest,
  failure: FinalFailure,
): EntryStep => {
  const withdrawn = withdrawReservations(step, tracked);
  const settled = settleClaim(withdrawn, tracked, failure);
  const { requestId } = tracked.request;
  const told = tracked.isCallerGone
    ? settled
    : emit(settled, { type: 'answerFailure', requestId, failure });
  return endRequest(scope, told, tracked, {
    outcome: failure.type,
    reason: failure.type === 'outcomeUnknown' ? '' : failure.reason,
    decodeTokens: 0,
  });
};
