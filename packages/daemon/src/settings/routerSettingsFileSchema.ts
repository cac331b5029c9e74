import { z } from 'zod';
import { settingsFields } from './settingsFields.js';

const { address, count, milliseconds, name, shared } = settingsFields;

const MAX_PORT = 65_535;
const MAX_RETRY_RATIO = 10;
const DEFAULT_RETRY_WINDOW_MS = 10_000;
const DEFAULT_RETRY_RATIO = 0.2;
const DEFAULT_RETRY_SLACK = 50;
const DEFAULT_QUOTA_WINDOW_MS = 8_000;
const DEFAULT_UNCONFIRMED_MS = 5_000;
const DEFAULT_STOP_MS = 8_000;
const DEFAULT_BODY_TIMEOUT_MS = 60_000;
const DEFAULT_UNREAD_TIMEOUT_MS = 10_000;
const DEFAULT_MAX_CONNECTIONS = 2_000;
const DEFAULT_CROSSING_DELAY_MS = 3;
const DEFAULT_CROSSING_COST_MS_PER_MEGABYTE = 200;

/** Settings file of a router that runs without a platform. */
export const routerSettingsFileSchema = z.strictObject({
  process: name.describe('Name of the process; must stay the same after a restart'),
  host: shared.host,
  dataCentre: shared.dataCentre,
  logLevel: shared.logLevel,
  routing: z
    .string()
    .min(1)
    .describe('Path of the routing document; the file is read again when it changes'),
  callersAddress: address.describe('Address that callers connect to; port 0 selects a free port'),
  readinessAddress: address.describe(
    'Address at which /ready responds with 200 while callers are accepted',
  ),
  metricsAddress: address.describe('Address at which metrics are served'),
  peers: z
    .strictObject({
      ip: z.ipv4().describe('IP address at which the other routers reach this host'),
      port: z
        .int()
        .min(0)
        .max(MAX_PORT)
        .describe(
          'UDP port of the digests that routers exchange, the same on every host; 0 for a single router',
        ),
      addresses: z.array(z.ipv4()).default([]).describe('IP addresses of the other routers'),
    })
    .describe('Addresses of the routers that share quotas and targets'),
  crossDataCentre: z
    .strictObject({
      delayMs: z
        .number()
        .min(0)
        .default(DEFAULT_CROSSING_DELAY_MS)
        .describe('Time that the link to another data centre adds to a response, in milliseconds'),
      costMsPerMegabyte: z
        .number()
        .min(0)
        .default(DEFAULT_CROSSING_COST_MS_PER_MEGABYTE)
        .describe(
          'Price of the bytes that cross, as the delay per megabyte that is accepted to avoid it, in milliseconds',
        ),
    })
    .optional()
    .describe(
      'Cost of requests to another data centre, which leave only where it is worth that; without it the cheapest target is chosen',
    ),
  retryRatio: z
    .number()
    .min(0)
    .max(MAX_RETRY_RATIO)
    .default(DEFAULT_RETRY_RATIO)
    .describe('Retry budget: retries allowed per request within the window'),
  retrySlack: z
    .int()
    .min(0)
    .default(DEFAULT_RETRY_SLACK)
    .describe(
      'Retry budget: retries allowed within the window regardless of the number of requests, over all routers',
    ),
  retryWindowMs: milliseconds
    .default(DEFAULT_RETRY_WINDOW_MS)
    .describe('Window of the retry budget (retryRatio and retrySlack)'),
  quotaWindowMs: milliseconds
    .default(DEFAULT_QUOTA_WINDOW_MS)
    .describe("Window of the teams' quotas"),
  trustedPromptParts: z
    .array(z.string().min(1))
    .default([])
    .describe(
      'Ids of prompt parts that are never quarantined; naming one that is under quarantine releases it',
    ),
  longestUnconfirmedMs: milliseconds
    .default(DEFAULT_UNCONFIRMED_MS)
    .describe(
      'Maximum age of the last successful read of the routing document; beyond it team keys are rejected',
    ),
  stopWithinMs: milliseconds
    .default(DEFAULT_STOP_MS)
    .describe('Maximum time from the stop signal until the process ends'),
  callerLimits: z
    .strictObject({
      hostMemoryMb: count
        .optional()
        .describe(
          'Memory of the host in megabytes; a fifth of it, and at most a quarter of the heap limit, may be held for callers',
        ),
      bodyTimeoutMs: milliseconds
        .default(DEFAULT_BODY_TIMEOUT_MS)
        .describe('Time within which the body of a request must arrive'),
      unreadTimeoutMs: milliseconds
        .default(DEFAULT_UNREAD_TIMEOUT_MS)
        .describe('Time after which a caller that reads nothing of its response is disconnected'),
      maxConnections: count
        .default(DEFAULT_MAX_CONNECTIONS)
        .describe("Maximum number of callers' connections; beyond it an idle one is closed"),
    })
    .prefault({})
    .describe('Limits on what callers make the router hold'),
});
