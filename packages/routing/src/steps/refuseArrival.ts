import { getConfirmationAgeMs } from '../configuration/getConfirmationAgeMs.js';
import { getVersion } from '../configuration/getVersion.js';
import type { Observation } from '../observations/observation.js';
import type { Arrival } from '../requests/arrival.js';
import type { Refusal } from '../requests/refusal.js';
import type { RoutingState } from '../routingState.js';
import { keep } from './keep.js';
import type { Outcome } from './outcome.js';
import type { Scope } from './scope.js';

type RefusedFields = Extract<Observation, { name: 'requestRefused' }>['fields'];

/** Answers an arriving request at once. */
export const refuseArrival = (
  state: RoutingState,
  arrival: Arrival,
  refusal: Refusal,
  { now }: Scope,
  inputs: Partial<RefusedFields> = {},
): Outcome => {
  const { confirmed } = state;
  const ageMs = confirmed === undefined ? -1 : Math.round(getConfirmationAgeMs(confirmed, now));
  return keep(
    state,
    { type: 'answer', requestId: arrival.requestId, refusal },
    {
      type: 'observe',
      name: 'requestRefused',
      fields: {
        ...inputs,
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
