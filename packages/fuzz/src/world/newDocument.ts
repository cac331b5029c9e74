import type { TeamName } from '@parsleyhall/common';
import type { ConfigurationDocument, Preset } from '@parsleyhall/configuration';
import { WORLD_SETTINGS } from './worldSettings.js';

const newPreset = (name: string): Preset => ({
  name,
  tiers: ([1, 2, 3, 4] as const).map((tier) => ({ tier, objective: 0.9, deadlineMs: 2_000 })),
  defaultTier: 3,
  lowestTierAdmitted: 4,
  tierOneReservedShare: 0,
  teamLimits: [],
  pricePerMillionPrefillTokens: 1,
});

/** The document that the world's operators publish first. */
export const newDocument = (): ConfigurationDocument => ({
  teams: ['registry', 'schools'].map((name) => ({ name: name as TeamName, weight: 1 })),
  pools: [
    {
      name: WORLD_SETTINGS.enginePool,
      kind: 'engine',
      models: [WORLD_SETTINGS.model],
      nonIdempotentCalls: [],
      checksFencing: false,
    },
    {
      name: WORLD_SETTINGS.servicePool,
      kind: 'service',
      models: [],
      nonIdempotentCalls: [{ method: 'POST', pathPrefix: '/notes' }],
      checksFencing: false,
    },
  ],
  presets: ['ordinary', 'peak', 'maintenance'].map(newPreset),
  initialPreset: 'ordinary',
});
