import type { ConfigurationDocument } from '@parsleyhall/configuration';
import type { Deployment } from './deployment.js';

type Preset = ConfigurationDocument['presets'][number];
type PlainDocument = Omit<ConfigurationDocument, 'teams' | 'pools'> & {
  readonly teams: readonly unknown[];
  readonly pools: readonly unknown[];
};

const FIRST_TOKEN_MS = 1_200;
const BETWEEN_TOKENS_MS = 31;
const OBJECTIVES = [0.99, 0.95, 0.9, 0.8] as const;

const newPreset = (
  name: string,
  timeScale: number,
  rules: Pick<Preset, 'lowestTierAdmitted' | 'tierOneReservedShare'>,
): Preset => ({
  name,
  tiers: ([1, 2, 3, 4] as const).map((tier) => ({
    tier,
    objective: OBJECTIVES[tier - 1] ?? 0,
    deadlineMs: 20_000,
    ...(tier === 1
      ? { firstTokenMs: FIRST_TOKEN_MS / timeScale, betweenTokensMs: BETWEEN_TOKENS_MS / timeScale }
      : {}),
  })),
  defaultTier: 3,
  teamLimits: [],
  pricePerMillionPrefillTokens: 0.4,
  ...rules,
});

interface PlainPool {
  readonly name: string;
  readonly kind: 'engine' | 'service';
  readonly models: readonly string[];
  readonly nonIdempotentCalls: readonly { readonly method: string; readonly pathPrefix: string }[];
}

const newPools = (deployment: Deployment): readonly PlainPool[] => {
  const { enginePool, servicePool, model, kinds } = deployment;
  const nonIdempotentCalls = kinds.flatMap(({ work }) =>
    work.type === 'service' && work.isNonIdempotent
      ? [{ method: work.method, pathPrefix: work.path }]
      : [],
  );
  return [
    { name: enginePool, kind: 'engine', models: [model], nonIdempotentCalls: [] },
    { name: servicePool, kind: 'service', models: [], nonIdempotentCalls },
  ];
};

const mergePools = (pools: readonly PlainPool[]): readonly PlainPool[] =>
  [...new Set(pools.map(({ name }) => name))].flatMap((name) => {
    const [first, ...others] = pools.filter((pool) => pool.name === name);
    return first === undefined
      ? []
      : [
          {
            ...first,
            models: [first, ...others].flatMap(({ models }) => models),
            nonIdempotentCalls: [first, ...others].flatMap(
              ({ nonIdempotentCalls }) => nonIdempotentCalls,
            ),
          },
        ];
  });

/** The configuration that a set of deployments runs under, with presets for ordinary days, peaks and maintenance. */
export const newDocument = (
  deployments: readonly Deployment[],
  timeScale: number,
): PlainDocument => ({
  teams: deployments.flatMap(({ teams }) => teams.map(({ name }) => ({ name }))),
  pools: mergePools(deployments.flatMap(newPools)),
  presets: [
    newPreset('ordinary', timeScale, { lowestTierAdmitted: 4, tierOneReservedShare: 0.1 }),
    newPreset('peak', timeScale, { lowestTierAdmitted: 4, tierOneReservedShare: 0.25 }),
    newPreset('maintenance', timeScale, { lowestTierAdmitted: 2, tierOneReservedShare: 0.1 }),
  ],
  initialPreset: 'ordinary',
});
