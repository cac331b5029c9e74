import { configurationDocumentSchema, type ConfigurationState } from '@parsleyhall/configuration';

/** A configuration with one engine pool and a number of teams. */
export const newSlopeConfiguration = (teams: number): ConfigurationState => ({
  version: 1,
  document: configurationDocumentSchema.parse({
    teams: Array.from({ length: teams }, (_, place) => ({ name: `team-${place}` })),
    pools: [{ name: 'pool', kind: 'engine', models: ['model'] }],
    presets: [
      {
        name: 'ordinary',
        tiers: [1, 2, 3, 4].map((tier) => ({ tier, objective: 0.9, deadlineMs: 600_000 })),
      },
    ],
    initialPreset: 'ordinary',
  }),
  presetInForce: 'ordinary',
  drainedHosts: [],
  recentPublications: [],
});
