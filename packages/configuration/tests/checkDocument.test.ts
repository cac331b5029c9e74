import { expect, test } from 'vitest';
import { checkDocument, configurationDocumentSchema } from '@parsleyhall/configuration';
import { createTestDocument } from './createTestDocument.js';

const getFaults = (document: unknown): readonly string[] =>
  checkDocument(configurationDocumentSchema, document).caseOf({
    Left: (faults) => faults.map(({ path, found, allowed }) => `${path}: ${found}: ${allowed}`),
    Right: () => [],
  });

test('accepts a valid document', () => {
  expect(getFaults(createTestDocument(['ordinary', 'peak']))).toEqual([]);
});

test('reports faults of the schema together with inconsistencies between parts of the document', () => {
  const document = structuredClone(createTestDocument(['ordinary', 'peak'])) as unknown as {
    teams: unknown[];
    pools: Record<string, unknown>[];
    presets: { name: string; tiers: Record<string, unknown>[]; teamLimits: unknown[] }[];
    initialPreset: unknown;
    extra?: unknown;
  };
  document.teams.push({ name: 'audits', weight: 0 });
  document.pools.push({ name: 'other', kind: 'engine', models: ['small'] });
  document.presets[0]?.tiers.pop();
  document.presets[0]?.teamLimits.push({ team: 'nobody' });
  Object.assign(document.presets[1]?.tiers[0] ?? {}, { objective: 90 });
  document.initialPreset = 'holiday';
  document.extra = 1;
  expect([...getFaults(document)].sort()).toEqual([
    'extra: 1: no such field',
    'initialPreset: "holiday": one of the presets: ordinary, peak',
    'pools[2].models[0]: "small": a model that is listed only once; this one is already listed in pool language',
    'presets[0].teamLimits[1].team: "nobody": one of the teams: audits',
    expect.stringMatching(/^presets\[0\]\.tiers: .*: exactly 4 entries$/) as unknown as string,
    expect.stringMatching(
      /^presets\[0\]\.tiers: .*: one entry for each tier; missing: 4$/,
    ) as unknown as string,
    'presets[1].tiers[0].objective: 90: at most 1',
    'teams[1].name: "audits": a name that is unique among the teams',
    'teams[1].weight: 0: more than 0',
  ]);
});

test('reports a document that is not an object as a single fault', () => {
  expect(getFaults('text')).toEqual(['(document): "text": object']);
});
