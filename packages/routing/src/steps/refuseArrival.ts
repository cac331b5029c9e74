import { getElapsedMs } from '../configuration/getElapsedMs.js';
import { getVersion } from '../configuration/getVersion.js';
import type { Observation } from '../observations/observation.js';
import type { Arrival } from '../requests/arrival.js';
import type { Refusal } from '../requests/refusal.js';
import type { RoutingState } from '../routingState.js';
import { createStepResult } from './createStepResult.js';
import type { StepResult } from './stepResult.js';
import type { StepContext } from './stepContext.js';

type RefusedFields = Extract<Observation, { name: 'requestRefused' }>['fields'];

/** Refuses an arriving request before it is tracked. */
export const refuseArrival = (
  state: RoutingState,
  arrival: Arrival,
  refusal: Refusal,
  { now }: StepContext,
  extraFields: Partial<RefusedFields> = {},
): StepResult => {
  const { configurationConfirmedAt } = state;
  const ageMs =
    configurationConfirmedAt === undefined
      ? -1
      : Math.round(getElapsedMs(configurationConfirmedAt, now));
  return createStepResult(
    state,
    { type: 'answer', requestId: arrival.requestId, refusal },
    {
      type: 'observe',
      name: 'requestRefused',
      fields: {
        ...extraFields,
        requestId: arrival.requestId,
        ...(arrival.attemptId === undefined ? {} : { attemptId: arrival.attemptId }),
        callerHost: arrival.host,
        reason: refusal.reason,
        status: refusal.status,
        mayHaveRun: false,
        ...(refusal.retryAfterMs === undefined ? {} : { retryAfterMs: refusal.retryAfterMs }),
        version: getVersion(state),
        configurationAgeMs: ageMs,
      },
    },
  );
};
