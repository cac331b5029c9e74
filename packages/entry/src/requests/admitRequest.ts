import type { EntryScope } from '../entryScope.js';
import type { EntryStep } from '../entryStep.js';
import { evaluateClaim } from '../keys/evaluateClaim.js';
import { rememberWaiter } from '../keys/rememberWaiter.js';
import { startClaim } from '../keys/startClaim.js';
import { placeRequest } from './placeRequest.js';
import { storeRequest } from './storeRequest.js';
import type { TrackedRequest } from './trackedRequest.js';

/** Starts an admitted request: a non-idempotent one claims its key first. */
export const admitRequest = (
  scope: EntryScope,
  step: EntryStep,
  tracked: TrackedRequest,
): EntryStep => {
  if (tracked.claim === undefined) {
    return placeRequest(scope, step, tracked);
  }
  if (!scope.decisions.mustReadBackClaim(tracked.request)) {
    const claimed = startClaim(scope, step, tracked);
    const stored = claimed.state.requests.get(tracked.request.requestId);
    return placeRequest(scope, claimed, stored ?? tracked);
  }
  const waiting: EntryStep = {
    state: rememberWaiter(step.state, tracked),
    effects: step.effects,
  };
  return evaluateClaim(scope, storeRequest(waiting, tracked), tracked);
};
