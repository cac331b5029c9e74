import { toOptionalField } from '@parsleyhall/common';
import type { SplitBlock } from './splitBlock.js';

const STANDARD_FIELDS: ReadonlySet<string> = new Set(['data', 'event', 'id', 'retry']);
const COMMENT = '';

interface Field {
  /** Empty for a comment. */
  readonly name: string;
  readonly value: string;
}

const parseLine = (line: string): Field => {
  const colonAt = line.indexOf(':');
  return colonAt < 0
    ? { name: line, value: '' }
    : { name: line.slice(0, colonAt), value: line.slice(colonAt + 1).replace(/^ /, '') };
};

/** Parses a block of an event stream by its lines; one that is no comment and no field of an event spoils the block. */
export const parseBlock = (bytes: Buffer, extraFields: ReadonlySet<string>): SplitBlock => {
  const fields = bytes
    .toString('latin1')
    .split(/\r?\n/)
    .filter((line) => line !== '')
    .map(parseLine)
    .filter(({ name }) => name !== COMMENT);
  const ids = fields.filter(({ name }) => name === 'id');
  if (fields.length === 0) {
    return { kind: 'comment', bytes };
  }
  const areKnown = fields.every(({ name }) => STANDARD_FIELDS.has(name) || extraFields.has(name));
  return areKnown && ids.length <= 1
    ? { kind: 'event', bytes, ...toOptionalField('id', ids[0]?.value) }
    : { kind: 'malformed', bytes };
};
