import { isRepeatable } from '../requests/isRepeatable.js';
import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { RoutingState } from '../routingState.js';
import type { Scope } from '../steps/scope.js';
import { mayArriveAgain } from './mayArriveAgain.js';

/** Whether a request that may have run may be sent to one more target. */
export const mayRunAgain = (state: RoutingState, request: TrackedRequest, scope: Scope): boolean =>
  isRepeatable(request.route) && mayArriveAgain(state, request, scope);
