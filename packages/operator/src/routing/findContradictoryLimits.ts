import type { RoutingDocument } from '@parsleyhall/daemon';
import type { RoutingFinding } from './routingFinding.js';

type Route = RoutingDocument['routes'][number];

const findTimeContradictions = (route: Route, path: string): readonly RoutingFinding[] => {
  const { kind, objectiveMs, longestSilenceMs, timeoutMs } = route;
  const isStream = kind === 'stream' || kind === 'resumableStream';
  return [
    ...(objectiveMs > timeoutMs
      ? [
          {
            severity: 'warning' as const,
            rule: 'objectiveOverTimeout' as const,
            path,
            detail: `the objective is ${objectiveMs} ms, but requests are given up after ${timeoutMs} ms`,
          },
        ]
      : []),
    ...(isStream && longestSilenceMs > timeoutMs
      ? [
          {
            severity: 'warning' as const,
            rule: 'silenceOverTimeout' as const,
            path,
            detail: `a silence of ${longestSilenceMs} ms can't occur, since requests are given up after ${timeoutMs} ms`,
          },
        ]
      : []),
  ];
};

const findAttemptContradictions = (
  { maxAttempts, destinations }: Route,
  path: string,
  { targets }: RoutingDocument,
): readonly RoutingFinding[] => {
  const services = new Set(destinations.map(({ service }) => service));
  const count = targets.filter((each) => !each.isLeaving && services.has(each.service)).length;
  return maxAttempts <= count || count === 0
    ? []
    : [
        {
          severity: 'warning',
          rule: 'attemptsOverTargets',
          path,
          detail: `${maxAttempts} attempts are allowed, but there are ${count} targets`,
        },
      ];
};

/** Finds limits of a routing document that contradict each other. */
export const findContradictoryLimits = (document: RoutingDocument): readonly RoutingFinding[] => [
  ...document.routes.flatMap((route, index) => [
    ...findTimeContradictions(route, `routes.${index}`),
    ...findAttemptContradictions(route, `routes.${index}`, document),
  ]),
];
