import { z } from 'zod';
import { settingsFields } from './settingsFields.js';

const { address, milliseconds, name, shared } = settingsFields;

const HIGHEST_PORT = 65_535;
const HIGHEST_RATIO = 10;
const DEFAULT_RETRY_WINDOW_MS = 10_000;
const DEFAULT_RETRY_RATIO = 0.2;
const DEFAULT_RETRY_SLACK = 50;
const DEFAULT_QUOTA_WINDOW_MS = 8_000;
const DEFAULT_UNCONFIRMED_MS = 5_000;
const DEFAULT_STOP_MS = 8_000;

/** Settings file of a router that runs without the users' platform. */
export const routerSettingsFileSchema = z.strictObject({
  process: name.describe('Name of the process; the same after a restart'),
  host: shared.host,
  dataCentre: shared.dataCentre,
  logLevel: shared.logLevel,
  routing: z.string().min(1).describe('File of the routing document; read again when it changes'),
  callersAddress: address.describe('Where callers connect; port 0 takes a free one'),
  readinessAddress: address.describe('Where /ready says 200 while callers are taken'),
  metricsAddress: address.describe('Where metrics are read'),
  peers: z
    .strictObject({
      ip: z.ipv4().describe('IP number of this host towards the other routers'),
      port: z
        .int()
        .min(0)
        .max(HIGHEST_PORT)
        .describe('UDP port of the digests, the same on every host; 0 for a router that is alone'),
      addresses: z.array(z.ipv4()).default([]).describe('IP numbers of the other routers'),
    })
    .describe('Routers that share quotas and targets'),
  retryRatio: z
    .number()
    .min(0)
    .max(HIGHEST_RATIO)
    .default(DEFAULT_RETRY_RATIO)
    .describe('Sends beyond the first of a request, per request, in a window'),
  retrySlack: z
    .int()
    .min(0)
    .default(DEFAULT_RETRY_SLACK)
    .describe('Sends beyond the first in a window whatever the requests, over all routers'),
  retryWindowMs: milliseconds.default(DEFAULT_RETRY_WINDOW_MS).describe('Window of both'),
  quotaWindowMs: milliseconds
    .default(DEFAULT_QUOTA_WINDOW_MS)
    .describe("Window of the teams' quotas"),
  longestUnconfirmedMs: milliseconds
    .default(DEFAULT_UNCONFIRMED_MS)
    .describe('Age of the latest good reading of the routing file beyond which keys are refused'),
  stopWithinMs: milliseconds
    .default(DEFAULT_STOP_MS)
    .describe('Time from the signal to stop until the process ends'),
});
