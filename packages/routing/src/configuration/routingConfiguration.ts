import type { CallerLimits } from './callerLimits.js';
import type { RoutedService } from './routedService.js';
import type { RoutedTeam } from './routedTeam.js';
import type { Route } from './route.js';

/** One complete version of the operator's configuration. */
export interface RoutingConfiguration {
  /** Increases with each change. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly RoutedService[];
  /** Empty if requests need no key. */
  readonly teams: readonly RoutedTeam[];
  readonly limits: CallerLimits;
}
