import type { DocumentDifference } from './documentDifference.js';

type Fields = Readonly<Record<string, unknown>>;

const KEY_FIELDS = ['name', 'tier', 'team'];

const isFields = (value: unknown): value is Fields =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

const findKeyField = (members: readonly unknown[]): string | undefined =>
  KEY_FIELDS.find((field) =>
    members.every((member) => isFields(member) && member[field] !== undefined),
  );

// A list of named members is compared by name, so that a new first member does not change all after it.
const getFields = (value: unknown): Fields | undefined => {
  if (isFields(value)) {
    return value;
  }
  if (!Array.isArray(value) || value.length === 0) {
    return undefined;
  }
  const keyField = findKeyField(value);
  return keyField === undefined
    ? undefined
    : Object.fromEntries(
        value.filter(isFields).map((member) => [String(member[keyField]), member]),
      );
};

const getText = (value: unknown): string | undefined =>
  value === undefined ? undefined : JSON.stringify(value);

/** Lists the values that two JSON documents differ in, in the order of the later document. */
export const getDifference = (
  previous: unknown,
  next: unknown,
  path = '',
): readonly DocumentDifference[] => {
  const before = getText(previous);
  const after = getText(next);
  if (before === after) {
    return [];
  }
  const previousFields = getFields(previous);
  const nextFields = getFields(next);
  if (previousFields === undefined || nextFields === undefined) {
    return [{ path: path === '' ? '(document)' : path, before, after }];
  }
  const keys = new Set([...Object.keys(nextFields), ...Object.keys(previousFields)]);
  return [...keys].flatMap((key) =>
    getDifference(previousFields[key], nextFields[key], path === '' ? key : `${path}.${key}`),
  );
};
