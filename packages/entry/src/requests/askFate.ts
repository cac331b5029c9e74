import type { EntryScope } from '../entryScope.js';
import type { EntryStep } from '../entryStep.js';
import { sendToSide } from '../steps/sendToSide.js';
import { storeRequest } from './storeRequest.js';
import type { TrackedRequest } from './trackedRequest.js';
import { withPhase } from './withPhase.js';

/** Asks the side process what became of a request's grant; the answer is to go on from the first byte missing. */
export const askFate = (scope: EntryScope, step: EntryStep, tracked: TrackedRequest): EntryStep => {
  const { phase, request } = tracked;
  if (phase.type !== 'given' && phase.type !== 'settling') {
    return step;
  }
  const settling = withPhase(scope.settings, tracked, { ...phase, type: 'settling' });
  return sendToSide(storeRequest(step, settling), phase.side, {
    type: 'askFate',
    grantId: phase.grantId,
    requestId: request.requestId,
    fromByte: scope.decisions.getResumeByte(tracked),
  });
};
