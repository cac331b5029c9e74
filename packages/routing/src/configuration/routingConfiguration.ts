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
  /**
   * Whether requests need a key of a team, except on routes that allow anonymous ones. It is not derived from the teams:
   * keys stay needed when the last team is taken away. Without it, keys have no meaning.
   */
  readonly areKeysUsed: boolean;
  readonly teams: readonly RoutedTeam[];
  readonly limits: CallerLimits;
}
