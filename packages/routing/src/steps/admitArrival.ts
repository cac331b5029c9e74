import { chooseService } from '../configuration/chooseService.js';
import { findRoute } from '../configuration/findRoute.js';
import { getElapsedMs } from '../configuration/getElapsedMs.js';
import { getTeamOfKey } from '../configuration/getTeamOfKey.js';
import type { Route } from '../configuration/route.js';
import type { RoutedTeam } from '../configuration/routedTeam.js';
import type { Arrival } from '../requests/arrival.js';
import type { Refusal } from '../requests/refusal.js';
import type { RoutingState } from '../routingState.js';
import type { StepContext } from './stepContext.js';

/** Retry-after of an entry that has no configuration, or none that was confirmed recently. */
const NOT_READY_RETRY_MS = 500;

type Admission =
  | { readonly type: 'refused'; readonly refusal: Refusal }
  | {
      readonly type: 'admitted';
      readonly route: Route;
      readonly service: string;
      readonly team: RoutedTeam | undefined;
    };

const newRefusedAdmission = (refusal: Refusal): Admission => ({ type: 'refused', refusal });

const isConfirmed = (state: RoutingState, { settings, now }: StepContext): boolean =>
  state.configurationConfirmedAt !== undefined &&
  getElapsedMs(state.configurationConfirmedAt, now) <= settings.longestUnconfirmedMs;

/**
 * Finds the route, service and team of an arriving request, or the reason to refuse it, by the current configuration.
 * While the configuration is unconfirmed, a request with a key is refused on every route: whether the key still holds
 * decides the team that its target is told, and the request must not be sent with a wrong team or without its own.
 */
export const admitArrival = (
  state: RoutingState,
  arrival: Arrival,
  context: StepContext,
): Admission => {
  const { index } = state;
  if (index === undefined) {
    const reason = 'noConfiguration';
    return newRefusedAdmission({ status: 503, reason, retryAfterMs: NOT_READY_RETRY_MS });
  }
  const route = findRoute(index, arrival.host, arrival.path);
  const service = route === undefined ? undefined : chooseService(route, arrival.random);
  if (route === undefined || service === undefined) {
    return newRefusedAdmission({ status: 404, reason: 'noRoute' });
  }
  const { areKeysUsed } = index.configuration;
  const isKeyNeeded = areKeysUsed && !route.isAnonymousAllowed;
  const isKeySent = areKeysUsed && arrival.key !== undefined;
  if (!isKeyNeeded && !isKeySent) {
    return { type: 'admitted', route, service, team: undefined };
  }
  if (!isConfirmed(state, context)) {
    const reason = 'configurationUnconfirmed';
    return newRefusedAdmission({ status: 503, reason, retryAfterMs: NOT_READY_RETRY_MS });
  }
  const team = getTeamOfKey(index, arrival.key);
  return isKeyNeeded && team === undefined
    ? newRefusedAdmission({ status: 401, reason: 'unknownKey' })
    : { type: 'admitted', route, service, team };
};
