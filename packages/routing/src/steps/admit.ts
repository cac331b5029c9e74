import { chooseService } from '../configuration/chooseService.js';
import { findRoute } from '../configuration/findRoute.js';
import { getConfirmationAgeMs } from '../configuration/getConfirmationAgeMs.js';
import type { Route } from '../configuration/route.js';
import type { RoutedTeam } from '../configuration/routedTeam.js';
import type { RoutingIndex } from '../configuration/routingIndex.js';
import type { Arrival } from '../requests/arrival.js';
import type { Refusal } from '../requests/refusal.js';
import type { RoutingState } from '../routingState.js';
import type { Scope } from './scope.js';

/** When to ask again at an entry that does not know enough yet, in milliseconds. */
const UNPREPARED_RETRY_MS = 500;

type Admission =
  | { readonly type: 'refused'; readonly refusal: Refusal }
  | {
      readonly type: 'admitted';
      readonly route: Route;
      readonly service: string;
      readonly team: RoutedTeam | undefined;
    };

const refused = (refusal: Refusal): Admission => ({ type: 'refused', refusal });

const isConfirmed = (state: RoutingState, { settings, now }: Scope): boolean =>
  state.confirmed !== undefined &&
  getConfirmationAgeMs(state.confirmed, now) <= settings.longestUnconfirmedMs;

const needsKey = (index: RoutingIndex, route: Route): boolean =>
  index.configuration.teams.length > 0 && !route.isAnonymousAllowed;

/** Judges an arriving request by the configuration in force. */
export const admit = (state: RoutingState, arrival: Arrival, scope: Scope): Admission => {
  const { index } = state;
  if (index === undefined) {
    const reason = 'noConfiguration';
    return refused({ status: 503, reason, retryAfterMs: UNPREPARED_RETRY_MS });
  }
  const route = findRoute(index, arrival.host, arrival.path);
  const service = route === undefined ? undefined : chooseService(route, arrival.random);
  if (route === undefined || service === undefined) {
    return refused({ status: 404, reason: 'noRoute' });
  }
  const team = arrival.key === undefined ? undefined : index.teamsByKey.get(arrival.key);
  if (!needsKey(index, route)) {
    return { type: 'admitted', route, service, team };
  }
  if (!isConfirmed(state, scope)) {
    const reason = 'configurationUnconfirmed';
    return refused({ status: 503, reason, retryAfterMs: UNPREPARED_RETRY_MS });
  }
  return team === undefined
    ? refused({ status: 401, reason: 'unknownKey' })
    : { type: 'admitted', route, service, team };
};
