import type { Route } from '@parsleyhall/routing';

/** A route for any caller, with generous times. */
export const createTestRoute = (kind: Route['kind']): Route => ({
  name: kind,
  host: '127.0.0.1',
  pathPrefix: `/${kind}/`,
  kind,
  destinations: [{ service: 'one', weight: 1 }],
  timeoutMs: 30_000,
  objectiveMs: 20_000,
  longestSilenceMs: 30_000,
  priority: 0,
  maxAttempts: 2,
  isAnonymousAllowed: true,
});
