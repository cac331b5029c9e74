import { z } from 'zod';
import type { HostName } from '@parsleyhall/common';
import { configurationDocumentSchema } from '../document/configurationDocumentSchema.js';
import type { ConfigurationState } from '../state/configurationState.js';

/** Checks and types a folded configuration that comes from a checkpoint or a peer. */
export const configurationStateSchema: z.ZodType<ConfigurationState> = z.strictObject({
  version: z.int().min(0),
  document: z.union([configurationDocumentSchema, z.undefined()]),
  presetInForce: z.union([z.string(), z.undefined()]),
  drainedHosts: z.array(z.string().transform((value) => value as HostName)),
  recentPublications: z.array(z.string()),
});
