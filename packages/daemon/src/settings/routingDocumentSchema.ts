import { z } from 'zod';
import { settingsFields } from './settingsFields.js';

const { address, count, milliseconds, name } = settingsFields;

const DEFAULT_MAX_HEADER_BYTES = 16_384;
const DEFAULT_MAX_BODY_BYTES = 4_194_304;
const DEFAULT_HEADER_TIMEOUT_MS = 3_000;
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
const DEFAULT_LONGEST_SILENCE_MS = 3_000;

const route = z.strictObject({
  name: name.describe('Name of the route, in log lines'),
  host: z.string().min(1).describe('Host name that callers ask for, without a port'),
  pathPrefix: z
    .string()
    .regex(/^\/(.*\/)?$/, 'a path that begins and ends with a slash')
    .describe('Prefix of the paths; the longest matching prefix is used'),
  kind: z
    .enum(['idempotent', 'nonIdempotent', 'resumableStream', 'stream'])
    .describe('Kind of the calls, which decides whether they may be retried'),
  destinations: z
    .array(
      z.strictObject({
        service: name.describe('Name of the service'),
        weight: z.number().positive().describe('Share, relative to the sum of the weights'),
      }),
    )
    .min(1)
    .describe('Services that receive the requests, with their weights'),
  timeoutMs: milliseconds.describe('Maximum time until a request is given up'),
  objectiveMs: milliseconds.describe(
    "Objective for the time to the response, or to a stream's first event",
  ),
  longestSilenceMs: milliseconds
    .default(DEFAULT_LONGEST_SILENCE_MS)
    .describe('Longest silence before or within a stream that its caller tolerates'),
  priority: z.int().min(0).describe('Priority of the requests; 0 is the most urgent'),
  maxAttempts: count.describe('Maximum number of targets that one request is sent to'),
  isAnonymousAllowed: z
    .boolean()
    .default(false)
    .describe('Whether requests without a key are accepted'),
});

const team = z.strictObject({
  name: name.describe('Name of the team'),
  keys: z.array(z.string().min(1)).describe("Keys of the team's callers"),
  priority: z.int().min(0).optional().describe('Overrides the priority of the route'),
  quota: z
    .strictObject({
      unit: z.enum(['requests', 'tokens']).describe('Unit in which the quota is counted'),
      perSecond: z
        .number()
        .min(0)
        .describe('Amount allowed per second, in the unit; 0 for no limit'),
      burst: z.number().min(0).describe('Amount allowed beyond the rate within a window'),
      plainTokens: z
        .number()
        .min(0)
        .default(0)
        .describe('Amount counted for a request that does not state its tokens'),
    })
    .optional()
    .describe('Quota of the team over all routers'),
});

const target = z.strictObject({
  id: name.describe('Identifier of the target; new with each start of it'),
  service: name.describe('Service that the target runs'),
  address: address.describe('IP address and port'),
  dataCentre: name.describe('Data centre of the target'),
  slots: count.describe('Number of requests that the target runs concurrently'),
  isLeaving: z
    .boolean()
    .default(false)
    .describe('Whether the target is about to leave and accepts no new requests'),
});

const limits = z.strictObject({
  maxHeaderBytes: count
    .default(DEFAULT_MAX_HEADER_BYTES)
    .describe('Maximum size of the headers of a request, in bytes; beyond it the response is 431'),
  maxBodyBytes: count
    .default(DEFAULT_MAX_BODY_BYTES)
    .describe('Maximum size of the body of a request'),
  headerTimeoutMs: milliseconds
    .default(DEFAULT_HEADER_TIMEOUT_MS)
    .describe('Time within which the headers must arrive; not enforced yet'),
  idleTimeoutMs: milliseconds
    .default(DEFAULT_IDLE_TIMEOUT_MS)
    .describe('Time that a connection may be idle'),
});

const service = z.strictObject({
  name: name.describe('Name of the service'),
  healthPath: z
    .string()
    .startsWith('/')
    .default('/')
    .describe('Path of the health check; not used yet'),
  maxConnections: count.describe(
    'Maximum number of connections to one target from all routers; not enforced yet',
  ),
});

/** The routing document: routes, services, teams and targets. */
export const routingDocumentSchema = z
  .strictObject({
    version: z
      .int()
      .min(1)
      .describe('Grows with each change; a document that is not newer is ignored'),
    routes: z.array(route).describe('Rules that assign requests to services and set their limits'),
    services: z.array(service).describe('Services that routes refer to'),
    teams: z
      .array(team)
      .default([])
      .describe('Teams and their keys; without any team no request needs a key'),
    targets: z.array(target).describe('Targets that run the services'),
    limits: limits.prefault({}).describe('Limits on what callers send'),
  })
  .superRefine(({ routes, services }, context) => {
    const serviceNames = new Set(services.map((each) => each.name));
    routes.forEach(({ destinations }, routeIndex) => {
      destinations.forEach((destination, index) => {
        if (!serviceNames.has(destination.service)) {
          const path = ['routes', routeIndex, 'destinations', index, 'service'];
          context.addIssue({ code: 'custom', path, message: 'a service of the document' });
        }
      });
    });
  });
