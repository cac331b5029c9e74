import { assertNever } from '@parsleyhall/common';
import type { SideToEntryMessage } from '@parsleyhall/protocol';
import type { EntryScope } from '../entryScope.js';
import type { EntryStep } from '../entryStep.js';
import { failUnknown } from '../requests/failUnknown.js';
import { finishAnswer } from '../requests/finishAnswer.js';
import { placeAgain } from '../requests/placeAgain.js';
import { relayBytes } from '../requests/relayBytes.js';
import { relayHead } from '../requests/relayHead.js';
import { settleFate } from '../requests/settleFate.js';
import { storeRequest } from '../requests/storeRequest.js';
import type { TrackedRequest } from '../requests/trackedRequest.js';

type AboutGrant = Extract<
  SideToEntryMessage,
  {
    type:
      'accepted' | 'refused' | 'answerHead' | 'answerBytes' | 'answerEnd' | 'answerFailed' | 'fate';
  }
>;

const hasStarted = ({ answer, phase }: TrackedRequest): boolean =>
  answer.isHeadSent || ((phase.type === 'given' || phase.type === 'settling') && phase.isAccepted);

const accept = (step: EntryStep, tracked: TrackedRequest): EntryStep => {
  const { phase } = tracked;
  return phase.type === 'given' || phase.type === 'settling'
    ? storeRequest(step, { ...tracked, phase: { ...phase, isAccepted: true } })
    : step;
};

/** Takes in a side process's word about a grant that this entry's request has used. */
export const receiveAboutRequest = (
  scope: EntryScope,
  step: EntryStep,
  tracked: TrackedRequest,
  message: AboutGrant,
): EntryStep => {
  switch (message.type) {
    case 'accepted':
      return accept(step, tracked);
    case 'refused':
      return hasStarted(tracked) ? step : placeAgain(scope, step, tracked);
    case 'answerHead':
      return relayHead(step, tracked, message);
    case 'answerBytes':
      return relayBytes(scope, step, tracked, message);
    case 'answerEnd':
      return finishAnswer(scope, step, tracked, message);
    case 'answerFailed':
      return message.outcome === 'notRun' && !tracked.answer.isHeadSent
        ? placeAgain(scope, step, tracked)
        : failUnknown(scope, step, tracked);
    case 'fate':
      return settleFate(scope, step, tracked, message.fate);
    default:
      return assertNever(message);
  }
};
