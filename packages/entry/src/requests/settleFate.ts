import { assertNever } from '@parsleyhall/common';
import type { GrantFate } from '@parsleyhall/protocol';
import type { EntryScope } from '../entryScope.js';
import type { EntryStep } from '../entryStep.js';
import { placeAgain } from './placeAgain.js';
import { settleUnrun } from './settleUnrun.js';
import { storeRequest } from './storeRequest.js';
import type { TrackedRequest } from './trackedRequest.js';
import { withPhase } from './withPhase.js';

/** Takes in what became of a grant that was in doubt. */
export const settleFate = (
  scope: EntryScope,
  step: EntryStep,
  tracked: TrackedRequest,
  fate: GrantFate,
): EntryStep => {
  const { phase } = tracked;
  if (phase.type !== 'settling') {
    return step;
  }
  switch (fate) {
    case 'running':
    case 'done': {
      const given = withPhase(scope.settings, tracked, {
        ...phase,
        type: 'given',
        isAccepted: true,
      });
      return storeRequest(step, given);
    }
    case 'neverReceived':
      return placeAgain(scope, step, tracked);
    case 'unknown':
      return settleUnrun(scope, step, tracked, scope.decisions.settleUnknownFate(tracked));
    default:
      return assertNever(fate);
  }
};
