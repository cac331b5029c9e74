import { expect, test } from 'vitest';
import { getSettingFields } from '../src/reference/getSettingFields.js';
import { DOCUMENT_KINDS } from '../src/settings/documentKinds.js';

test('every setting has a description', () => {
  const fields = DOCUMENT_KINDS.flatMap(({ schema }) => getSettingFields(schema));
  expect(fields.length).toBeGreaterThan(0);
  expect(fields.filter(({ meaning }) => meaning === '').map(({ path }) => path)).toEqual([]);
});
