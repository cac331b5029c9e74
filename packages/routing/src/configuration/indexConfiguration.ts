import type { Route } from './route.js';
import type { RoutingConfiguration } from './routingConfiguration.js';
import type { RoutingIndex } from './routingIndex.js';

const groupByHost = (routes: readonly Route[]): ReadonlyMap<string, readonly Route[]> => {
  const groups = new Map<string, Route[]>();
  for (const route of routes) {
    const host = route.host.toLowerCase();
    const group = groups.get(host) ?? [];
    group.push(route);
    groups.set(host, group);
  }
  for (const group of groups.values()) {
    group.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
  }
  return groups;
};

/** Indexes a configuration for lookups by host and key. */
export const indexConfiguration = (configuration: RoutingConfiguration): RoutingIndex => ({
  configuration,
  routesByHost: groupByHost(configuration.routes),
  teamsByKey: new Map(
    configuration.teams.flatMap((team) => team.keys.map((key) => [key, team] as const)),
  ),
});
