import { z } from 'zod';
import type { SideId } from '@parsleyhall/common';
import type { SideToEntryMessage } from '../sideToEntryMessage.js';
import { configurationBytesSchema } from './configurationBytesSchema.js';
import { fieldSchemas as field } from './fieldSchemas.js';

const LOWEST_STATUS = 100;
const HIGHEST_STATUS = 999;

const reference = { grantId: field.grantId, requestId: field.requestId };
const countsByTier = z.tuple([field.count, field.count, field.count, field.count]);
const quantitiesByTier = z.tuple([field.quantity, field.quantity, field.quantity, field.quantity]);

const digest = z.object({
  runningRequests: field.count,
  windowRequests: field.count,
  prefillTokensAhead: field.count,
  waitingTokensByTier: countsByTier,
  waitingByTier: countsByTier,
  runningByTier: countsByTier,
  prefillTokensPerSecond: field.quantity,
  decodeTokensPerSecond: field.quantity,
  predictedWaitMsByTier: quantitiesByTier,
  lowestTierAdmitted: field.tier,
  takesLongPrefills: z.boolean(),
  isLeaving: z.boolean(),
});

/** Checks a decoded message of a side process. */
export const sideToEntrySchema: z.ZodType<SideToEntryMessage> = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('hello'),
    side: field.name.transform((value) => value as SideId),
    incarnation: field.incarnation,
    host: field.host,
    dataCentre: field.name,
    pool: field.pool,
    models: z.array(field.name),
    configurationVersion: field.count,
    isLeaving: z.boolean(),
  }),
  z.object({ type: z.literal('grant'), ...reference }),
  z.object({
    type: z.literal('handBack'),
    requestId: field.requestId,
    reason: z.enum([
      'draining',
      'shed',
      'deadlineUnreachable',
      'wrongPool',
      'noConfiguration',
      'queueFull',
      'targetDown',
    ]),
    retryAfterMs: field.quantity,
  }),
  z.object({ type: z.literal('accepted'), ...reference }),
  z.object({ type: z.literal('refused'), ...reference }),
  z.object({
    type: z.literal('answerHead'),
    ...reference,
    status: z.int().min(LOWEST_STATUS).max(HIGHEST_STATUS),
    headers: field.headers,
  }),
  z.object({
    type: z.literal('answerBytes'),
    ...reference,
    offset: field.count,
    bytes: field.bytes,
  }),
  z.object({
    type: z.literal('answerEnd'),
    ...reference,
    totalBytes: field.count,
    prefillTokens: field.count,
    decodeTokens: field.count,
  }),
  z.object({
    type: z.literal('answerFailed'),
    ...reference,
    outcome: z.enum(['notRun', 'unknown']),
  }),
  z.object({
    type: z.literal('fate'),
    ...reference,
    fate: z.enum(['running', 'done', 'neverReceived', 'unknown']),
  }),
  z.object({ type: z.literal('digest'), digest }),
  z.object({ type: z.literal('heartbeat'), configurationVersion: field.count }),
  z
    .object({ type: z.literal('configuration'), stateJson: configurationBytesSchema })
    .transform(({ stateJson }) => ({ type: 'configuration', configuration: stateJson }) as const),
]);
