import { z } from 'zod';
import type { HostName } from '@parsleyhall/common';
import { configurationDocumentSchema } from '@parsleyhall/configuration';
import type { ConfigurationState } from '@parsleyhall/configuration';

const state = z.strictObject({
  version: z.int().min(0),
  document: configurationDocumentSchema.optional(),
  presetInForce: z.string().optional(),
  drainedHosts: z.array(z.string().transform((value) => value as HostName)),
  recentPublications: z.array(z.string()),
});

/** Checks a configuration state that a peer sent. */
export const configurationStateSchema = state.transform((value): ConfigurationState => ({
  ...value,
  document: value.document,
  presetInForce: value.presetInForce,
}));
