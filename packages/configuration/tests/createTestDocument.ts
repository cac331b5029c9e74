import {
  type ConfigurationDocument,
  configurationDocumentSchema,
} from '@parsleyhall/configuration';

/** Creates a small valid configuration document with presets of the given names. */
export const createTestDocument = (presets: readonly string[]): ConfigurationDocument =>
  configurationDocumentSchema.parse({
    teams: [{ name: 'audits' }],
    pools: [
      { name: 'language', kind: 'engine', models: ['small'] },
      { name: 'portal', kind: 'service' },
    ],
    presets: presets.map((name) => ({
      name,
      tiers: [1, 2, 3, 4].map((tier) => ({ tier, objective: 0.9, deadlineMs: 1_000 * tier })),
      teamLimits: [{ team: 'audits', requestsPerSecond: 10 }],
    })),
    initialPreset: presets[0],
  });
