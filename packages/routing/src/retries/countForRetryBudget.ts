import type { RoutingState } from '../routingState.js';
import type { StepContext } from '../steps/stepContext.js';
import { addToRetryBuckets } from './addToRetryBuckets.js';

/** Counts a request or a retry towards the service's retry budget. */
export const countForRetryBudget = (
  state: RoutingState,
  service: string,
  kind: 'request' | 'retry',
  { settings, nowMs }: StepContext,
): RoutingState => ({
  ...state,
  retryBuckets: state.retryBuckets.set(
    service,
    addToRetryBuckets({
      buckets: state.retryBuckets.get(service) ?? [],
      kind,
      nowMs,
      windowMs: settings.retries.windowMs,
    }),
  ),
});
