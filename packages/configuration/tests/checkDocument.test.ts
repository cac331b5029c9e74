import { expect, test } from 'vitest';
import { checkDocument, configurationDocumentSchema } from '@parsleyhall/configuration';
import { newTestDocument } from './newTestDocument.js';

const getFaults = (document: unknown): readonly string[] =>
  checkDocument(configurationDocumentSchema, document).caseOf({
    Left: (faults) => faults.map(({ path, found, allowed }) => `${path}: ${found}: ${allowed}`),
    Right: () => [],
  });

test('a valid document has no faults', () => {
  expect(getFaults(newTestDocument(['ordinary', 'peak']))).toEqual([]);
});

test('faults of the schema and faults between parts are all named at once', () => {
  const document = structuredClone(newTestDocument(['ordinary', 'peak'])) as unknown as {
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
    'pools[2].models[0]: "small": a model that is listed once; this one is in pool language',
    'presets[0].teamLimits[1].team: "nobody": one of the teams: audits',
    expect.stringMatching(/^presets\[0\]\.tiers: .*: exactly 4 entries$/) as unknown as string,
    expect.stringMatching(
      /^presets\[0\]\.tiers: .*: one entry for each tier; missing: 4$/,
    ) as unknown as string,
    'presets[1].tiers[0].objective: 90: at most 1',
    'teams[1].name: "audits": a name that no other of the teams has',
    'teams[1].weight: 0: more than 0',
  ]);
});

test('a document that is no object is one fault', () => {
  expect(getFaults('text')).toEqual(['(document): "text": object']);
});
