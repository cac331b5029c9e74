import { hasTeamChanged } from '../requests/hasTeamChanged.js';
import { isRetrySafe } from '../requests/isRetrySafe.js';
import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { RoutingState } from '../routingState.js';
import type { StepContext } from '../steps/stepContext.js';
import { hasRetriesLeft } from './hasRetriesLeft.js';

/** Whether a request that may already have run may be sent to another target, which repeats or continues its response. */
export const canRunAgain = (
  state: RoutingState,
  request: TrackedRequest,
  context: StepContext,
): boolean =>
  !request.isCommitted &&
  !hasTeamChanged(state, request) &&
  isRetrySafe(request.route) &&
  hasRetriesLeft(state, request, context);
