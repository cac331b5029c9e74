import { toOptionalField } from '@parsleyhall/common';
import type { EventFormat } from './eventFormat.js';
import type { SplitBlock } from './splitBlock.js';

const STANDARD_FIELDS: ReadonlySet<string> = new Set(['data', 'event', 'id', 'retry']);
const COMMENT = '';
const ID = 'id';
const DATA = 'data';
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

/** Whether each field but the data stands once at most: else the rest of a cut event is glued to the next one. */
const areSingle = (names: readonly string[]): boolean => {
  const single = names.filter((name) => name !== DATA);
  return new Set(single).size === single.length;
};

const isIdBeforeOthers = (names: readonly string[]): boolean =>
  names.find((name) => STANDARD_FIELDS.has(name)) === ID;

/** Parses a block of an event stream by its lines; one that is no comment and no field of an event spoils the block. */
export const parseBlock = (
  bytes: Buffer,
  { isIdFirst, extraFields }: Pick<EventFormat, 'isIdFirst' | 'extraFields'>,
): SplitBlock => {
  const text = bytes.toString('latin1');
  if (LONE_CARRIAGE_RETURN.test(text)) {
    return { kind: 'malformed', bytes };
  }
  const fields = text
    .split(/\r?\n/)
    .filter((line) => line !== '')
    .map(parseLine)
    .filter(({ name }) => name !== COMMENT);
  if (fields.length === 0) {
    return { kind: 'comment', bytes };
  }
  const names = fields.map(({ name }) => name);
  const isEvent =
    names.every((name) => STANDARD_FIELDS.has(name) || extraFields.has(name)) &&
    areSingle(names) &&
    (!isIdFirst || isIdBeforeOthers(names));
  const id = fields.find(({ name }) => name === ID)?.value;
  return isEvent
    ? { kind: 'event', bytes, hasData: names.includes(DATA), ...toOptionalField('id', id) }
    : { kind: 'malformed', bytes };
};
