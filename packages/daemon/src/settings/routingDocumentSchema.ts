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
    .describe('Beginning of the paths; the longest that fits is taken'),
  kind: z
    .enum(['idempotent', 'nonIdempotent', 'resumableStream', 'stream'])
    .describe('What may be repeated'),
  destinations: z
    .array(
      z.strictObject({
        service: name.describe('Name of the service'),
        weight: z.number().positive().describe('Share, relative to the sum of the weights'),
      }),
    )
    .min(1)
    .describe('Services that get the requests, with their shares'),
  timeoutMs: milliseconds.describe('Longest time that a request is kept'),
  objectiveMs: milliseconds.describe("Time to the answer, or a stream's first event, on time"),
  longestSilenceMs: milliseconds
    .default(DEFAULT_LONGEST_SILENCE_MS)
    .describe('Longest silence before or in a stream that its caller bears'),
  priority: z.int().min(0).describe('0 is the most urgent'),
  maxAttempts: count.describe('Most targets that one request may be sent to'),
  isAnonymousAllowed: z.boolean().default(false).describe('Whether a request needs no key'),
});

const team = z.strictObject({
  name: name.describe('Name of the team'),
  keys: z.array(z.string().min(1)).describe("Keys of the team's callers"),
  priority: z.int().min(0).optional().describe('Goes before the priority of the route'),
  quota: z
    .strictObject({
      unit: z.enum(['requests', 'tokens']).describe('What is counted'),
      perSecond: z.number().min(0).describe('In the unit; 0 for no limit'),
      burst: z.number().min(0).describe('Beyond the rate, in a window'),
      plainTokens: z.number().min(0).default(0).describe('Of a request that tells no tokens'),
    })
    .optional()
    .describe('What the team may use, over all routers'),
});

const target = z.strictObject({
  id: name.describe('New with each start of the target'),
  service: name.describe('Service that it runs'),
  address: address.describe('IP number and port'),
  dataCentre: name.describe('Data centre of the target'),
  slots: count.describe('Requests that it runs at once'),
  isLeaving: z.boolean().default(false).describe('It takes no new work and will go away'),
});

const limits = z.strictObject({
  maxHeaderBytes: count
    .default(DEFAULT_MAX_HEADER_BYTES)
    .describe('Largest head of a request; not enforced yet'),
  maxBodyBytes: count.default(DEFAULT_MAX_BODY_BYTES).describe('Largest body of a request'),
  headerTimeoutMs: milliseconds
    .default(DEFAULT_HEADER_TIMEOUT_MS)
    .describe('Time for a head to arrive; not enforced yet'),
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
    .describe('Path of its health check; not asked yet'),
  maxConnections: count.describe(
    'Connections that one target takes from all routers; not enforced yet',
  ),
});

/** The routing document: routes, services, teams and targets. */
export const routingDocumentSchema = z
  .strictObject({
    version: z
      .int()
      .min(1)
      .describe('Grows with each change; a document that is not newer is ignored'),
    routes: z.array(route).describe('Which requests go where, and on what terms'),
    services: z.array(service).describe('Services that routes name'),
    teams: z.array(team).default([]).describe('Teams and their keys; none: no request needs a key'),
    targets: z.array(target).describe('Targets that run the services'),
    limits: limits.prefault({}).describe('Bounds on what callers send'),
  })
  .superRefine(({ routes, services }, context) => {
    const known = new Set(services.map((one) => one.name));
    routes.forEach(({ destinations }, routeIndex) => {
      destinations.forEach((destination, index) => {
        if (!known.has(destination.service)) {
          const path = ['routes', routeIndex, 'destinations', index, 'service'];
          context.addIssue({ code: 'custom', path, message: 'a service of the document' });
        }
      });
    });
  });
