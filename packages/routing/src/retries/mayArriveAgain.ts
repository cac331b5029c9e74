import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { RoutingState } from '../routingState.js';
import type { Scope } from '../steps/scope.js';
import { isRepeatAllowed } from './isRepeatAllowed.js';

/** Whether a request has attempts left and its service takes one more repeat. */
export const mayArriveAgain = (
  state: RoutingState,
  { arrivals, route, service }: TrackedRequest,
  scope: Scope,
): boolean => arrivals < route.maxAttempts && isRepeatAllowed(state, service, scope);
