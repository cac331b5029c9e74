import type { CallerLimits } from './callerLimits.js';
import type { RoutedService } from './routedService.js';
import type { RoutedTeam } from './routedTeam.js';
import type { Route } from './route.js';

/** One whole version of what the operator wants. */
export interface RoutingConfiguration {
  /** Only grows. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly RoutedService[];
  /** Empty where requests need no key. */
  readonly teams: readonly RoutedTeam[];
  readonly limits: CallerLimits;
}
