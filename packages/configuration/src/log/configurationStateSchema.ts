import { z } from 'zod';
import type { HostName } from '@parsleyhall/common';
import { configurationDocumentSchema } from '../document/configurationDocumentSchema.js';
import type { ConfigurationState } from '../state/configurationState.js';

/** Validates a configuration state received in a checkpoint or from a peer. */
export const configurationStateSchema: z.ZodType<ConfigurationState> = z.strictObject({
  version: z.int().min(0),
  document: z.union([configurationDocumentSchema, z.undefined()]),
  presetInForce: z.union([z.string(), z.undefined()]),
  drainedHosts: z.array(z.string().transform((value) => value as HostName)),
  recentPublications: z.array(z.string()),
});
