import { readFile } from 'node:fs/promises';
import { format, resolveConfig } from 'prettier';
import { expect, test } from 'vitest';
import { getSettingFields } from '../src/reference/getSettingFields.js';
import { renderSettingsReference } from '../src/reference/renderSettingsReference.js';
import { DOCUMENT_KINDS } from '../src/settings/documentKinds.js';

const REFERENCE = new URL('../../../docs/SETTINGS.md', import.meta.url);

test('the settings reference is current; if not, run npm run docs:settings', async () => {
  const options = await resolveConfig(REFERENCE.pathname);
  const rendered = await format(renderSettingsReference(), { ...options, parser: 'markdown' });
  expect(await readFile(REFERENCE, 'utf8')).toBe(rendered);
});

test('every setting has a meaning', () => {
  const fields = DOCUMENT_KINDS.flatMap(({ schema }) => getSettingFields(schema));
  expect(fields.filter(({ meaning }) => meaning === '').map(({ path }) => path)).toEqual([]);
});
