import type { EntryScope } from '../entryScope.js';
import type { EntryStep } from '../entryStep.js';
import { placeRequest } from './placeRequest.js';
import { reserveAt } from './reserveAt.js';
import type { RequestPhase } from './requestPhase.js';
import { storeRequest } from './storeRequest.js';
import type { TrackedRequest } from './trackedRequest.js';
import { withPhase } from './withPhase.js';

type Waiting = Extract<RequestPhase, { type: 'waiting' }>;

/** Reserves at the second choices too, or chooses afresh when there are none and no reservation is left. */
export const widenPlacement = (
  scope: EntryScope,
  step: EntryStep,
  tracked: TrackedRequest,
  waiting: Waiting,
): EntryStep => {
  const connected = waiting.laterAt.filter(
    (side) => step.state.sides.get(side)?.isConnected === true,
  );
  if (connected.length === 0 && waiting.reservedAt.length === 0) {
    return placeRequest(
      scope,
      step,
      withPhase(scope.settings, tracked, { ...waiting, laterAt: [] }),
    );
  }
  const widened = withPhase(scope.settings, tracked, {
    ...waiting,
    reservedAt: [...waiting.reservedAt, ...connected],
    laterAt: [],
  });
  return reserveAt(scope, storeRequest(step, widened), widened, connected);
};
