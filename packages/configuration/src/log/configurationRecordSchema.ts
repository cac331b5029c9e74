import { z } from 'zod';
import type { HostName } from '@parsleyhall/common';
import { configurationDocumentSchema } from '../document/configurationDocumentSchema.js';
import type { ConfigurationRecord } from './configurationRecord.js';
import { configurationStateSchema } from './configurationStateSchema.js';

const publicationId = z.string().min(1).max(64);
const base = z.int().min(0);
const operator = z.string().min(1).max(64);
const host = z
  .string()
  .min(1)
  .max(253)
  .transform((value) => value as HostName);

/** Validates a record of the configuration stream. */
export const configurationRecordSchema: z.ZodType<ConfigurationRecord> = z.discriminatedUnion(
  'type',
  [
    z.strictObject({
      type: z.literal('publish'),
      publicationId,
      base,
      operator,
      document: configurationDocumentSchema,
    }),
    z.strictObject({
      type: z.literal('usePreset'),
      publicationId,
      base,
      operator,
      preset: z.string(),
    }),
    z.strictObject({ type: z.literal('drainHost'), publicationId, base, operator, host }),
    z.strictObject({ type: z.literal('restoreHost'), publicationId, base, operator, host }),
    z.strictObject({
      type: z.literal('checkpoint'),
      publicationId,
      state: configurationStateSchema,
      foldedTo: z.int().min(0),
    }),
  ],
);
