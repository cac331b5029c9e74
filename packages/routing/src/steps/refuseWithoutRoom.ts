import { findWithoutRoom } from '../memory/findWithoutRoom.js';
import { getRetryAfterMs } from '../requests/getRetryAfterMs.js';
import { refuseRequest } from '../requests/refuseRequest.js';
import type { Refusal } from '../requests/refusal.js';
import type { RoutingState } from '../routingState.js';
import { runStepForEach } from './runStepForEach.js';
import type { StepContext } from './stepContext.js';
import type { StepResult } from './stepResult.js';

/** Refuses waiting requests for which targets are predicted to have too little memory for too long. */
export const refuseWithoutRoom = (state: RoutingState, { nowMs }: StepContext): StepResult =>
  runStepForEach(state, state.waiting.keys(), (current, service) =>
    runStepForEach(current, findWithoutRoom(current, service, nowMs), (next, found) => {
      const refusal: Refusal = found.request.mayHaveRun
        ? { status: 504, reason: 'timedOut' }
        : { status: 503, reason: 'overloaded', retryAfterMs: getRetryAfterMs(found.waitMs) };
      const waitMs = Math.round(found.waitMs);
      return refuseRequest(next, found.request, refusal, nowMs, { waitMs });
    }),
  );
