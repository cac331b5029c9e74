import { findRepeated } from './findRepeated.js';
import type { RoutingDocument } from '@parsleyhall/daemon';
import type { RoutingFinding } from './routingFinding.js';

type Rule = (document: RoutingDocument) => readonly RoutingFinding[];

const findSameNames: Rule = ({ routes, services, teams, targets }) => {
  const lists = {
    routes: routes.map(({ name }) => name),
    services: services.map(({ name }) => name),
    teams: teams.map(({ name }) => name),
    targets: targets.map(({ id }) => id),
  };
  return Object.entries(lists).flatMap(([list, names]) =>
    findRepeated(names).map(({ index, firstIndex }) => ({
      severity: 'error' as const,
      rule: 'sameName' as const,
      path: `${list}.${index}`,
      detail: `${names[index] ?? ''} is also the name of ${list}.${firstIndex}`,
    })),
  );
};

const findShadowedRoutes: Rule = ({ routes }) =>
  findRepeated(routes.map(({ host, pathPrefix }) => `${host.toLowerCase()} ${pathPrefix}`)).map(
    ({ index, firstIndex }) => ({
      severity: 'error' as const,
      rule: 'shadowedRoute' as const,
      path: `routes.${index}`,
      detail: `routes.${firstIndex} has the same host and prefix; one of the two never matches`,
    }),
  );

const findServicesWithoutTargets: Rule = ({ routes, targets }) => {
  const running = new Set(targets.flatMap((each) => (each.isLeaving ? [] : [each.service])));
  return routes.flatMap(({ destinations }, index) =>
    destinations.flatMap(({ service }, destinationIndex) =>
      running.has(service)
        ? []
        : [
            {
              severity: 'error' as const,
              rule: 'noTargets' as const,
              path: `routes.${index}.destinations.${destinationIndex}`,
              detail: `service ${service} has no target, or only targets that are leaving`,
            },
          ],
    ),
  );
};

const findUnusedServices: Rule = ({ routes, services }) => {
  const used = new Set(routes.flatMap((each) => each.destinations.map(({ service }) => service)));
  return services.flatMap(({ name }, index) =>
    used.has(name)
      ? []
      : [
          {
            severity: 'warning' as const,
            rule: 'unusedService' as const,
            path: `services.${index}`,
            detail: `no route has the destination ${name}`,
          },
        ],
  );
};

const findTargetsOfUnknownServices: Rule = ({ services, targets }) => {
  const known = new Set(services.map(({ name }) => name));
  return targets.flatMap(({ service }, index) =>
    known.has(service)
      ? []
      : [
          {
            severity: 'error' as const,
            rule: 'unknownService' as const,
            path: `targets.${index}`,
            detail: `the document has no service ${service}`,
          },
        ],
  );
};

const findTeamsWithoutKeys: Rule = ({ teams }) =>
  teams.flatMap(({ name, keys }, index) =>
    keys.length > 0
      ? []
      : [
          {
            severity: 'warning' as const,
            rule: 'teamWithoutKey' as const,
            path: `teams.${index}`,
            detail: `no request can belong to ${name}, which has no key`,
          },
        ],
  );

/** The keys themselves are secret and not shown. */
const findSharedKeys: Rule = ({ teams }) => {
  const owned = teams.flatMap(({ name, keys }, team) =>
    keys.map((key, index) => ({ key, name, path: `teams.${team}.keys.${index}` })),
  );
  return findRepeated(owned.map(({ key }) => key)).map(({ index, firstIndex }) => ({
    severity:
      owned[index]?.name === owned[firstIndex]?.name ? ('warning' as const) : ('error' as const),
    rule: 'sharedKey' as const,
    path: owned[index]?.path ?? '',
    detail: `the same key as ${owned[firstIndex]?.path ?? ''}, of team ${owned[firstIndex]?.name ?? ''}`,
  }));
};

const RULES: readonly Rule[] = [
  findSameNames,
  findShadowedRoutes,
  findServicesWithoutTargets,
  findUnusedServices,
  findTargetsOfUnknownServices,
  findTeamsWithoutKeys,
  findSharedKeys,
];

/** Finds entries of a routing document that can never match or never serve, and names that are not unique. */
export const findUnreachableEntries = (document: RoutingDocument): readonly RoutingFinding[] =>
  RULES.flatMap((rule) => rule(document));
