import { z } from 'zod';
import { TIERS } from '@parsleyhall/common';

const names = z.array(z.object({ name: z.string().optional() }).catch({})).catch([]);

// Only what the cross checks read, so that they run beside faults found elsewhere in the document.
const outlineSchema = z
  .object({
    teams: names,
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

interface CrossFault {
  readonly path: readonly (string | number)[];
  /** What is allowed there, in words. */
  readonly allowed: string;
}

const findRepeats = (values: readonly (string | number | undefined)[]): readonly number[] => {
  const seen = new Set<string | number>();
  return values.flatMap((value, index) => {
    const isRepeat = value !== undefined && seen.has(value);
    if (value !== undefined) {
      seen.add(value);
    }
    return isRepeat ? [index] : [];
  });
};

const findRepeatedNames = (outline: Outline): readonly CrossFault[] =>
  (['teams', 'pools', 'presets'] as const).flatMap((list) =>
    findRepeats(outline[list].map(({ name }) => name)).map((index) => ({
      path: [list, index, 'name'],
      allowed: `a name that no other of the ${list} has`,
    })),
  );

const findSharedModels = ({ pools }: Outline): readonly CrossFault[] => {
  const places = pools.flatMap((pool, poolIndex) =>
    pool.models.map((model, modelIndex) => ({ model, poolIndex, modelIndex })),
  );
  return findRepeats(places.map(({ model }) => model)).flatMap((index) => {
    const place = places[index];
    const first = places.find(({ model }) => model === place?.model);
    if (place === undefined || first === undefined) {
      return [];
    }
    const owner = pools[first.poolIndex]?.name ?? 'another pool';
    return [
      {
        path: ['pools', place.poolIndex, 'models', place.modelIndex],
        allowed: `a model that is listed once; this one is in pool ${owner}`,
      },
    ];
  });
};

const findMisplacedModels = ({ pools }: Outline): readonly CrossFault[] =>
  pools.flatMap(({ kind, models }, index) => {
    if (kind === 'service' && models.length > 0) {
      return [{ path: ['pools', index, 'models'], allowed: 'no models in a pool of services' }];
    }
    if (kind === 'engine' && models.length === 0) {
      return [
        { path: ['pools', index, 'models'], allowed: 'at least one model in an engine pool' },
      ];
    }
    return [];
  });

const findTierFaults = ({ presets }: Outline): readonly CrossFault[] =>
  presets.flatMap((preset, index) => {
    const present = preset.tiers.map(({ tier }) => tier);
    const missing = TIERS.filter((tier) => !present.includes(tier));
    const repeated = findRepeats(present).map((place) => ({
      path: ['presets', index, 'tiers', place, 'tier'],
      allowed: 'a tier that the preset has not listed yet',
    }));
    return missing.length === 0
      ? repeated
      : [
          ...repeated,
          {
            path: ['presets', index, 'tiers'],
            allowed: `one entry for each tier; missing: ${missing.join(', ')}`,
          },
        ];
  });

const findUnknownTeams = ({ teams, presets }: Outline): readonly CrossFault[] => {
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

const findUnknownInitialPreset = ({ presets, initialPreset }: Outline): readonly CrossFault[] => {
  const known = presets.map(({ name }) => name);
  return initialPreset === undefined || known.includes(initialPreset)
    ? []
    : [{ path: ['initialPreset'], allowed: `one of the presets: ${known.join(', ')}` }];
};

/** Finds the faults that lie between parts of a configuration document, whatever else is wrong with it. */
export const findCrossFaults = (input: unknown): readonly CrossFault[] => {
  const outline = outlineSchema.parse(input);
  return [
    ...findRepeatedNames(outline),
    ...findMisplacedModels(outline),
    ...findSharedModels(outline),
    ...findTierFaults(outline),
    ...findUnknownTeams(outline),
    ...findUnknownInitialPreset(outline),
  ];
};
