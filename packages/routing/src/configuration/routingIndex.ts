import type { RoutedTeam } from './routedTeam.js';
import type { Route } from './route.js';
import type { RoutingConfiguration } from './routingConfiguration.js';

/** A configuration with what requests are looked up by. */
export interface RoutingIndex {
  readonly configuration: RoutingConfiguration;
  /** By host; the longest prefix first. */
  readonly routesByHost: ReadonlyMap<string, readonly Route[]>;
  readonly teamsByKey: ReadonlyMap<string, RoutedTeam>;
}
