import { z } from 'zod';
import { TIERS } from '@parsleyhall/common';

const namedListSchema = z.array(z.object({ name: z.string().optional() }).catch({})).catch([]);

// Holds only what the consistency checks read and replaces invalid values by empty ones, so that the checks can run on
// a document that has other faults.
const outlineSchema = z
  .object({
    teams: namedListSchema,
    pools: z
      .array(
        z
          .object({
            name: z.string().optional().catch(undefined),
            kind: z.string().optional().catch(undefined),
            models: z.array(z.string()).catch([]),
          })
          .catch({ name: undefined, kind: undefined, models: [] }),
      )
      .catch([]),
    presets: z
      .array(
        z
          .object({
            name: z.string().optional().catch(undefined),
            tiers: z
              .array(
                z
                  .object({ tier: z.number().optional().catch(undefined) })
                  .catch({ tier: undefined }),
              )
              .catch([]),
            teamLimits: z
              .array(
                z
                  .object({ team: z.string().optional().catch(undefined) })
                  .catch({ team: undefined }),
              )
              .catch([]),
          })
          .catch({ name: undefined, tiers: [], teamLimits: [] }),
      )
      .catch([]),
    initialPreset: z.string().optional().catch(undefined),
  })
  .catch({ teams: [], pools: [], presets: [], initialPreset: undefined });

type Outline = z.output<typeof outlineSchema>;

interface ConsistencyFault {
  readonly path: readonly (string | number)[];
  /** Description of the allowed values. */
  readonly allowed: string;
}

const findDuplicateIndexes = (
  values: readonly (string | number | undefined)[],
): readonly number[] => {
  const seen = new Set<string | number>();
  return values.flatMap((value, index) => {
    const isDuplicate = value !== undefined && seen.has(value);
    if (value !== undefined) {
      seen.add(value);
    }
    return isDuplicate ? [index] : [];
  });
};

const findDuplicateNames = (outline: Outline): readonly ConsistencyFault[] =>
  (['teams', 'pools', 'presets'] as const).flatMap((list) =>
    findDuplicateIndexes(outline[list].map(({ name }) => name)).map((index) => ({
      path: [list, index, 'name'],
      allowed: `a name that is unique among the ${list}`,
    })),
  );

const findDuplicateModels = ({ pools }: Outline): readonly ConsistencyFault[] => {
  const listings = pools.flatMap((pool, poolIndex) =>
    pool.models.map((model, modelIndex) => ({ model, poolIndex, modelIndex })),
  );
  return findDuplicateIndexes(listings.map(({ model }) => model)).flatMap((index) => {
    const listing = listings[index];
    const first = listings.find(({ model }) => model === listing?.model);
    if (listing === undefined || first === undefined) {
      return [];
    }
    const firstPool = pools[first.poolIndex]?.name ?? 'another pool';
    return [
      {
        path: ['pools', listing.poolIndex, 'models', listing.modelIndex],
        allowed: `a model that is listed only once; this one is already listed in pool ${firstPool}`,
      },
    ];
  });
};

const findPoolKindFaults = ({ pools }: Outline): readonly ConsistencyFault[] =>
  pools.flatMap(({ kind, models }, index) => {
    if (kind === 'service' && models.length > 0) {
      return [{ path: ['pools', index, 'models'], allowed: 'no models in a service pool' }];
    }
    if (kind === 'engine' && models.length === 0) {
      return [
        { path: ['pools', index, 'models'], allowed: 'at least one model in an engine pool' },
      ];
    }
    return [];
  });

const findTierFaults = ({ presets }: Outline): readonly ConsistencyFault[] =>
  presets.flatMap((preset, index) => {
    const tiers = preset.tiers.map(({ tier }) => tier);
    const missing = TIERS.filter((tier) => !tiers.includes(tier));
    const duplicates = findDuplicateIndexes(tiers).map((tierIndex) => ({
      path: ['presets', index, 'tiers', tierIndex, 'tier'],
      allowed: 'a tier that is listed only once in the preset',
    }));
    return missing.length === 0
      ? duplicates
      : [
          ...duplicates,
          {
            path: ['presets', index, 'tiers'],
            allowed: `one entry for each tier; missing: ${missing.join(', ')}`,
          },
        ];
  });

const findUnknownTeams = ({ teams, presets }: Outline): readonly ConsistencyFault[] => {
  const known = new Set(teams.map(({ name }) => name));
  return presets.flatMap(({ teamLimits }, presetIndex) =>
    teamLimits.flatMap(({ team }, limitIndex) =>
      team === undefined || known.has(team)
        ? []
        : [
            {
              path: ['presets', presetIndex, 'teamLimits', limitIndex, 'team'],
              allowed: `one of the teams: ${[...known].join(', ')}`,
            },
          ],
    ),
  );
};

const findUnknownInitialPreset = ({
  presets,
  initialPreset,
}: Outline): readonly ConsistencyFault[] => {
  const known = presets.map(({ name }) => name);
  return initialPreset === undefined || known.includes(initialPreset)
    ? []
    : [{ path: ['initialPreset'], allowed: `one of the presets: ${known.join(', ')}` }];
};

/**
 * Finds inconsistencies between parts of a configuration document, such as duplicate names and references to unknown
 * teams. Other faults of the document do not prevent the checks.
 */
export const findConsistencyFaults = (input: unknown): readonly ConsistencyFault[] => {
  const outline = outlineSchema.parse(input);
  return [
    ...findDuplicateNames(outline),
    ...findPoolKindFaults(outline),
    ...findDuplicateModels(outline),
    ...findTierFaults(outline),
    ...findUnknownTeams(outline),
    ...findUnknownInitialPreset(outline),
  ];
};
