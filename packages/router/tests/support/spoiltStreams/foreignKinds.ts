import type { ForeignKind } from './foreignKind.js';

/** Bytes that no run made, by kind; `next` is the number that the next sound event will have. */
export const FOREIGN_KINDS: readonly ForeignKind[] = [
  { name: 'a line of text', write: () => 'garbage\n\n' },
  { name: 'text without a blank line', write: () => 'garbage' },
  { name: 'data without an id', write: () => 'data: foreign\n\n' },
  { name: 'an empty id', write: () => 'id: \ndata: foreign\n\n' },
  { name: 'an id without a colon', write: () => 'id\ndata: foreign\n\n' },
  { name: 'an id behind two spaces', write: (next) => `id:  ${next}\ndata: foreign\n\n` },
  { name: 'a signed id', write: (next) => `id: +${next}\ndata: foreign\n\n` },
  { name: 'a negative id', write: () => 'id: -7\ndata: foreign\n\n' },
  { name: 'a hexadecimal id', write: () => 'id: 9f\ndata: foreign\n\n' },
  { name: 'an id that ends with NUL', write: (next) => `id: ${next}\0\ndata: foreign\n\n` },
  { name: 'a field in upper case', write: (next) => `ID: ${next}\ndata: foreign\n\n` },
  { name: 'a response head', write: () => 'HTTP/1.1 200 OK\r\nAttempt: a1\r\n\r\n' },
  { name: 'a known field alone', write: () => 'event: foreign\n\n' },
  { name: 'a retry interval alone', write: () => 'retry: 10\n\n' },
  { name: 'a line of the version alone', write: () => 'version: 9\n\n' },
  { name: 'binary bytes', write: () => '\u0000\u0001\u00ff\u00fe\n\n' },
  { name: 'the next number without data', write: (next) => `id: ${next}\n\n` },
  {
    name: 'the next number with data',
    write: (next) => `id: ${next}\ndata: foreign\n\n`,
    looksSound: true,
  },
  { name: 'a number far above the next', write: (next) => `id: ${next + 8}\ndata: foreign\n\n` },
  { name: 'the number above the next', write: (next) => `id: ${next + 1}\ndata: foreign\n\n` },
  { name: 'the number before the next', write: (next) => `id: ${next - 1}\ndata: foreign\n\n` },
  { name: 'the number zero', write: () => 'id: 0\ndata: foreign\n\n' },
  {
    name: 'two events in a row with the next numbers',
    write: (next) => `id: ${next}\ndata: foreign\n\nid: ${next + 1}\ndata: foreign\n\n`,
    looksSound: true,
  },
  {
    name: 'an event hidden behind a carriage return',
    write: (next) => `data: foreign\r\rid: ${next}\ndata: ${next}\n\n`,
  },
  {
    name: 'an event with a second one behind a carriage return',
    write: (next) => `id: ${next}\ndata: foreign\r\rdata: foreign\n\n`,
  },
];
