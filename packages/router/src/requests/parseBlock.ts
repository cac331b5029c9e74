import { toOptionalField } from '@parsleyhall/common';
import type { SplitBlock } from './splitBlock.js';

const STANDARD_FIELDS: ReadonlySet<string> = new Set(['data', 'event', 'id', 'retry']);
const COMMENT = '';
/** Ends a line for some parsers and not for others, so that they see different events. */
const LONE_CARRIAGE_RETURN = /\r(?!\n)/;

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
  const text = bytes.toString('latin1');
  if (LONE_CARRIAGE_RETURN.test(text)) {
    return { kind: 'malformed', bytes };
  }
  const fields = text
    .split(/\r?\n/)
    .filter((line) => line !== '')
    .map(parseLine)
    .filter(({ name }) => name !== COMMENT);
  const ids = fields.filter(({ name }) => name === 'id');
  if (fields.length === 0) {
    return { kind: 'comment', bytes };
  }
  const areKnown = fields.every(({ name }) => STANDARD_FIELDS.has(name) || extraFields.has(name));
  if (!areKnown || ids.length > 1) {
    return { kind: 'malformed', bytes };
  }
  const hasData = fields.some(({ name }) => name === 'data');
  return { kind: 'event', bytes, hasData, ...toOptionalField('id', ids[0]?.value) };
};
