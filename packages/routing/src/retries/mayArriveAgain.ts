import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { RoutingState } from '../routingState.js';
import type { Scope } from '../steps/scope.js';
import { getRepeatsLeft } from './getRepeatsLeft.js';

/** Whether a request has attempts left and its service takes one more repeat. */
export const mayArriveAgain = (
  state: RoutingState,
  { arrivals, route, service }: TrackedRequest,
  { nowMs }: Scope,
): boolean => arrivals < route.maxAttempts && getRepeatsLeft(state, service, nowMs) >= 1;
