import { z } from 'zod';
import type { PoolName } from '@parsleyhall/common';
import { settingsFields } from './settingsFields.js';

const { address, count, milliseconds, name, shared } = settingsFields;

/** Settings file of a side process. */
export const sideSettingsFileSchema = z.strictObject({
  ...shared,
  target: z
    .strictObject({
      address: address.describe('IP address and port of the target'),
      kind: z.enum(['engine', 'service']).describe('Model engine or plain service'),
      pool: name
        .transform((value) => value as PoolName)
        .describe('Pool of the configuration that the target belongs to'),
      models: z.array(z.string().min(1)).default([]).describe('Models that the engine serves'),
    })
    .describe('The one target of this side process'),
  initialWindowRequests: count
    .default(8)
    .describe('Initial limit of concurrent requests at the target, before it adapts'),
  maximumWindowRequests: count
    .default(64)
    .describe('Upper bound of the limit of concurrent requests at the target'),
  grantLeaseMs: milliseconds.default(1_000).describe('Time within which a grant must be used'),
  answerRetentionMs: milliseconds
    .default(60_000)
    .describe('Time that the response of an unacknowledged run is kept'),
  maximumWaiting: count.default(20_000).describe('Maximum number of waiting reservations'),
  loadPollMs: milliseconds
    .default(250)
    .describe("Time between two reads of the engine's load report"),
  cacheEventPollMs: milliseconds
    .default(500)
    .describe("Time between two reads of the engine's cache events"),
});
