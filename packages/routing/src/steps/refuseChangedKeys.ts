import { getKeyChangedRefusal } from '../requests/getKeyChangedRefusal.js';
import { hasTeamChanged } from '../requests/hasTeamChanged.js';
import { refuseRequest } from '../requests/refuseRequest.js';
import type { RoutingState } from '../routingState.js';
import { runStepForEach } from './runStepForEach.js';
import type { StepContext } from './stepContext.js';
import type { StepResult } from './stepResult.js';

/**
 * Refuses the queued requests whose keys have changed hands with a new configuration, since a target would be told of the
 * wrong team. A request that is at a target already ends there.
 */
export const refuseChangedKeys = (state: RoutingState, { nowMs }: StepContext): StepResult => {
  const queued = [...state.waiting.values()].flatMap((requests) => [...requests.values()]);
  const changed = queued.filter((request) => hasTeamChanged(state, request));
  return runStepForEach(state, changed, (next, request) =>
    refuseRequest(next, request, getKeyChangedRefusal(request), nowMs),
  );
};
