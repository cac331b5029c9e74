import type { DocumentDifference } from './documentDifference.js';

type JsonObject = Readonly<Record<string, unknown>>;

const IDENTIFYING_FIELDS = ['name', 'tier', 'team', 'id'];

const isJsonObject = (value: unknown): value is JsonObject =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

const findIdentifyingField = (members: readonly unknown[]): string | undefined =>
  IDENTIFYING_FIELDS.find((field) =>
    members.every((member) => isJsonObject(member) && member[field] !== undefined),
  );

// Items with an identifying field are compared by its value rather than by index, so that an item inserted at the front
// does not mark all the following items as changed.
const getComparableFields = (value: unknown): JsonObject | undefined => {
  if (isJsonObject(value)) {
    return value;
  }
  if (!Array.isArray(value) || value.length === 0) {
    return undefined;
  }
  const identifyingField = findIdentifyingField(value);
  return identifyingField === undefined
    ? undefined
    : Object.fromEntries(
        value.filter(isJsonObject).map((member) => [String(member[identifyingField]), member]),
      );
};

const toJson = (value: unknown): string | undefined =>
  value === undefined ? undefined : JSON.stringify(value);

/** Lists the values that differ between two JSON documents, in the order of the newer document. */
export const getDifference = (
  previous: unknown,
  next: unknown,
  path = '',
): readonly DocumentDifference[] => {
  const before = toJson(previous);
  const after = toJson(next);
  if (before === after) {
    return [];
  }
  const previousFields = getComparableFields(previous);
  const nextFields = getComparableFields(next);
  if (previousFields === undefined || nextFields === undefined) {
    return [{ path: path === '' ? '(document)' : path, before, after }];
  }
  const keys = new Set([...Object.keys(nextFields), ...Object.keys(previousFields)]);
  return [...keys].flatMap((key) =>
    getDifference(previousFields[key], nextFields[key], path === '' ? key : `${path}.${key}`),
  );
};
