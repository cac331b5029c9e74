import { z } from 'zod';
import type { SettingField } from './settingField.js';

type Schema = z.core.JSONSchema.JSONSchema;

const MAX_SAFE_INTEGER = Number.MAX_SAFE_INTEGER;

const formatRange = (schema: Schema): string => {
  const { minimum, exclusiveMinimum, maximum, minLength, maxLength, minItems } = schema;
  const effectiveMaximum = maximum === MAX_SAFE_INTEGER ? undefined : maximum;
  const bounds = [
    minimum !== undefined && minimum !== -MAX_SAFE_INTEGER ? `at least ${minimum}` : '',
    exclusiveMinimum === undefined ? '' : `more than ${exclusiveMinimum}`,
    effectiveMaximum === undefined ? '' : `at most ${effectiveMaximum}`,
    minLength === undefined ? '' : `at least ${minLength} characters`,
    maxLength === undefined ? '' : `at most ${maxLength} characters`,
    minItems === undefined ? '' : `at least ${minItems} entries`,
  ].filter((bound) => bound !== '');
  return bounds.length === 0 ? '' : `, ${bounds.join(', ')}`;
};

const formatType = (schema: Schema): string => {
  if (schema.enum !== undefined) {
    return schema.enum.map((value) => JSON.stringify(value)).join(', ');
  }
  if (schema.const !== undefined) {
    return JSON.stringify(schema.const);
  }
  if (schema.anyOf !== undefined) {
    return schema.anyOf.map((option) => formatType(option)).join(' or ');
  }
  if (schema.type === 'array') {
    return 'list';
  }
  return schema.format ?? String(schema.type ?? 'any');
};

const formatAllowed = (schema: Schema): string => {
  const pattern = schema.pattern === undefined || schema.format !== undefined ? '' : schema.pattern;
  return `${formatType(schema)}${formatRange(schema)}${pattern === '' ? '' : ` (${pattern})`}`;
};

const getNestedFields = (schema: Schema, path: string): readonly SettingField[] => {
  if (schema.type === 'array' && typeof schema.items === 'object' && 'properties' in schema.items) {
    return getFields(schema.items, `${path}[].`);
  }
  return schema.type === 'object' ? getFields(schema, `${path}.`) : [];
};

const getFields = (schema: Schema, prefix: string): readonly SettingField[] =>
  Object.entries(schema.properties ?? {}).flatMap(([name, value]) => {
    const field = value as Schema;
    const path = `${prefix}${name}`;
    return [
      {
        path,
        allowed: formatAllowed(field),
        defaultText: field.default === undefined ? undefined : JSON.stringify(field.default),
        isRequired: schema.required?.includes(name) ?? false,
        meaning: field.description ?? '',
      },
      ...getNestedFields(field, path),
    ];
  });

/** Lists the fields that a schema allows in a document, including nested ones. */
export const getSettingFields = (schema: z.ZodType): readonly SettingField[] =>
  getFields(z.toJSONSchema(schema, { io: 'input', unrepresentable: 'any' }), '');
