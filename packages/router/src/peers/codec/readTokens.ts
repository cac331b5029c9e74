import type { BinaryReader } from '@bufbuild/protobuf/wire';
import type { NamedCounts } from './namedCounts.js';
import type { NameTable } from './nameTable.js';
import { readCounts } from './readCounts.js';

const isTokenCount = (count: number): boolean => Number.isSafeInteger(count) && count >= 0;

/** Reads a field of tokens by target id; throws if one is not a non-negative integer. */
export const readTokens = (reader: BinaryReader, names: NameTable): NamedCounts => {
  const tokens = readCounts(reader, names);
  if (!Object.values(tokens.counts).every(isTokenCount)) {
    throw new RangeError('a number of tokens is malformed');
  }
  return tokens;
};
