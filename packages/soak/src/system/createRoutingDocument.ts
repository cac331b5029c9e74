import type { SoakTarget } from './soakTarget.js';

const ROUTES = [
  { name: 'idempotent', kind: 'idempotent' },
  { name: 'nonIdempotent', kind: 'nonIdempotent' },
  { name: 'stream', kind: 'stream' },
  { name: 'resumableStream', kind: 'resumableStream' },
];
const SLOTS_PER_TARGET = 12;

/** Creates a routing document with one route for each kind of request; all routes lead to the same targets. */
export const createRoutingDocument = (targets: readonly SoakTarget[]): unknown => ({
  version: 1,
  routes: ROUTES.map(({ name, kind }) => ({
    name,
    kind,
    host: '127.0.0.1',
    pathPrefix: `/${name}/`,
    destinations: [{ service: 'one', weight: 1 }],
    timeoutMs: 4_000,
    objectiveMs: 600,
    priority: 0,
    maxAttempts: 2,
    isAnonymousAllowed: true,
  })),
  services: [{ name: 'one', maxConnections: 200 }],
  targets: targets.map(({ name, address }) => ({
    id: name,
    service: 'one',
    address,
    dataCentre: 'here',
    slots: SLOTS_PER_TARGET,
  })),
});
