import { z } from 'zod';
import type { PoolName } from '@parsleyhall/common';
import { settingsFields } from './settingsFields.js';

const { address, count, milliseconds, name, shared } = settingsFields;

/** Settings file of a side process. */
export const sideSettingsFileSchema = z.strictObject({
  ...shared,
  target: z.strictObject({
    address,
    kind: z.enum(['engine', 'service']),
    pool: name.transform((value) => value as PoolName),
    models: z.array(z.string().min(1)).default([]),
  }),
  initialWindowRequests: count.default(8),
  maximumWindowRequests: count.default(64),
  grantLeaseMs: milliseconds.default(1_000),
  answerRetentionMs: milliseconds.default(60_000),
  maximumWaiting: count.default(20_000),
  loadPollMs: milliseconds.default(250),
  cacheEventPollMs: milliseconds.default(500),
});
