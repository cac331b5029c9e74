import type { EntryScope } from '../entryScope.js';
import type { EntryStep } from '../entryStep.js';
import { recordAnswer } from '../keys/recordAnswer.js';
import { emit } from '../steps/emit.js';
import { sendToSide } from '../steps/sendToSide.js';
import { askFate } from './askFate.js';
import { endRequest } from './endRequest.js';
import type { TrackedRequest } from './trackedRequest.js';

/** Ends a request whose whole answer has come; an answer with a part missing is asked for again. */
export const finishAnswer = (
  scope: EntryScope,
  step: EntryStep,
  tracked: TrackedRequest,
  end: { readonly totalBytes: number; readonly decodeTokens: number },
): EntryStep => {
  const { phase, request, answer } = tracked;
  if (phase.type !== 'given' && phase.type !== 'settling') {
    return step;
  }
  if (!answer.isHeadSent || !scope.decisions.isWholeAnswer(answer.bytesReceived, end.totalBytes)) {
    return phase.type === 'given' ? askFate(scope, step, tracked) : step;
  }
  const { requestId } = request;
  const { grantId, side } = phase;
  const acknowledged = sendToSide(step, side, { type: 'acknowledgeEnd', grantId, requestId });
  const recorded = recordAnswer(acknowledged, tracked);
  const told = tracked.isCallerGone ? recorded : emit(recorded, { type: 'answerEnd', requestId });
  return endRequest(scope, told, tracked, {
    outcome: 'answered',
    reason: '',
    decodeTokens: end.decodeTokens,
  });
};
