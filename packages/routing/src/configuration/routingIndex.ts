import type { RoutedTeam } from './routedTeam.js';
import type { Route } from './route.js';
import type { RoutingConfiguration } from './routingConfiguration.js';

/** A configuration with its lookup tables. */
export interface RoutingIndex {
  readonly configuration: RoutingConfiguration;
  /** Routes by lower-case host, the longest path prefix first. */
  readonly routesByHost: ReadonlyMap<string, readonly Route[]>;
  readonly teamsByKey: ReadonlyMap<string, RoutedTeam>;
}
