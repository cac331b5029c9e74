import type { EntryScope } from '../entryScope.js';
import type { EntryStep } from '../entryStep.js';
import { endClaim } from '../keys/endClaim.js';
import { sendToSide } from '../steps/sendToSide.js';
import { endRequest } from './endRequest.js';
import { isWaiting } from './isWaiting.js';
import { storeRequest } from './storeRequest.js';
import type { TrackedRequest } from './trackedRequest.js';
import { withdrawReservations } from './withdrawReservations.js';

const ENDING = { outcome: 'hungUp', decodeTokens: 0 } as const;

/**
 * Ends a request whose caller has gone. Waiting work is withdrawn, running work may be cancelled; a non-idempotent run
 * goes on, so that a repeat can be given its answer.
 */
export const hangUp = (scope: EntryScope, step: EntryStep, tracked: TrackedRequest): EntryStep => {
  const { phase, request } = tracked;
  if (isWaiting(tracked)) {
    const withdrawn = endClaim(withdrawReservations(step, tracked), tracked, 'notRun');
    return endRequest(scope, withdrawn, tracked, { ...ENDING, reason: 'waiting' });
  }
  if (tracked.claim !== undefined) {
    return storeRequest(step, { ...tracked, isCallerGone: true });
  }
  if (phase.type !== 'given' && phase.type !== 'settling') {
    return step;
  }
  const cancelled = sendToSide(step, phase.side, {
    type: 'cancel',
    grantId: phase.grantId,
    requestId: request.requestId,
  });
  return endRequest(scope, cancelled, tracked, { ...ENDING, reason: 'running' });
};
