import { findHopeless } from '../queue/findHopeless.js';
import { describeWait } from '../queue/describeWait.js';
import { getRetryAfterMs } from '../requests/getRetryAfterMs.js';
import { refuse } from '../requests/refuse.js';
import type { Refusal } from '../requests/refusal.js';
import type { RoutingState } from '../routingState.js';
import { forEach } from './forEach.js';
import type { Outcome } from './outcome.js';
import type { Scope } from './scope.js';

/** Gives up what waits in vain, so that its caller can go on. */
export const refuseHopeless = (state: RoutingState, { nowMs }: Scope): Outcome =>
  forEach(state, state.waiting.keys(), (current, service) => {
    const hopeless = findHopeless(current, service, nowMs);
    return forEach(current, hopeless, (next, { request, wait }) => {
      const refusal: Refusal = request.mayHaveRun
        ? { status: 504, reason: 'timedOut' }
        : { status: 503, reason: 'overloaded', retryAfterMs: getRetryAfterMs(wait.waitMs) };
      return refuse(next, request, refusal, nowMs, describeWait(wait));
    });
  });
