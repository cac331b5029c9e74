import type { Route } from '../../src/index.js';

/** A route for idempotent calls with up to two attempts. */
export const newRoute = (changes: Partial<Route> = {}): Route => ({
  name: 'route',
  host: 'a.example',
  pathPrefix: '/a/',
  kind: 'idempotent',
  destinations: [{ service: 'one', weight: 1 }],
  timeoutMs: 10_000,
  objectiveMs: 500,
  longestSilenceMs: 3_000,
  priority: 1,
  maxAttempts: 2,
  isAnonymousAllowed: false,
  ...changes,
});
