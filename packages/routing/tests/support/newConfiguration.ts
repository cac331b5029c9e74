import type { RoutingConfiguration } from '../../src/index.js';
import { newRoute } from './newRoute.js';

/** A configuration with one route, one service and one team. */
export const newConfiguration = (
  changes: Partial<RoutingConfiguration> = {},
): RoutingConfiguration => ({
  version: 1,
  routes: [newRoute()],
  services: [{ name: 'one', healthPath: '/', maxConnections: 100 }],
  areKeysUsed: true,
  teams: [{ name: 'red', keys: ['red-key'] }],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 1_000_000,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
  ...changes,
});
