import { readdirSync, readFileSync } from 'node:fs';
import { format, resolveConfig } from 'prettier';
import { expect, test } from 'vitest';
import { createMemoryLog } from './createMemoryLog.js';
import { createTestOperator } from './createTestOperator.js';
import { renderSettingsReference } from '@parsleyhall/operator';

const ROOT = new URL('../../../', import.meta.url);

const DEPLOYMENTS = ['nilegate', 'bureau', 'router'] as const;

test.each(DEPLOYMENTS)('the declared documents of %s have no faults', async (deployment) => {
  const folder = new URL(`deployments/${deployment}/`, ROOT);
  const names = readdirSync(folder);
  expect(names.length).toBeGreaterThan(0);
  const files = Object.fromEntries(
    names.map((name) => [name, JSON.parse(readFileSync(new URL(name, folder), 'utf8')) as unknown]),
  );
  const operator = createTestOperator({ log: createMemoryLog().client, name: 'hoda', files });
  for (const name of names.filter((file) => file !== 'operator.json')) {
    const checked = await operator.run(`settings check ${name}`);
    expect({ name, errors: checked.errors }).toEqual({ name, errors: '' });
  }
});

test('the settings reference matches the schemas', async () => {
  const file = new URL('docs/SETTINGS.md', ROOT);
  const options = await resolveConfig(file.pathname);
  const current = await format(renderSettingsReference(), { ...options, filepath: 'SETTINGS.md' });
  expect(readFileSync(file, 'utf8')).toBe(current);
});
