import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { RoutingState } from '../routingState.js';
import type { StepContext } from '../steps/stepContext.js';
import { getRetryBudgetLeft } from './getRetryBudgetLeft.js';

/** Whether a request has attempts left and its service's retry budget allows one more. */
export const hasRetriesLeft = (
  state: RoutingState,
  { attempts, route, service }: TrackedRequest,
  { nowMs }: StepContext,
): boolean => attempts < route.maxAttempts && getRetryBudgetLeft(state, service, nowMs) >= 1;
