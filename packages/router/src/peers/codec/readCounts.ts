import type { BinaryReader } from '@bufbuild/protobuf/wire';
import type { NamedCounts } from './namedCounts.js';
import type { NameTable } from './nameTable.js';
import { readNumber } from './readNumber.js';

/**
 * Reads a field of numbers by name and adds the names that are spelled out to the table; throws if it is malformed. It is
 * read in place, since creating a reader for each field costs more than the reading.
 */
export const readCounts = (reader: BinaryReader, names: NameTable): NamedCounts => {
  const fieldBytes = reader.uint32();
  const end = reader.pos + fieldBytes;
  const counts: Record<string, number> = {};
  let unresolved = 0;
  const hashedCount = reader.uint32();
  for (let index = 0; index < hashedCount; index += 1) {
    const name = names.find(reader.uint32());
    const count = readNumber(reader);
    if (name === undefined) {
      unresolved += 1;
    } else {
      counts[name] = count;
    }
  }
  while (reader.pos < end) {
    const name = reader.string();
    names.add(name);
    counts[name] = readNumber(reader);
  }
  if (reader.pos !== end) {
    throw new RangeError('a field of counts has a wrong length');
  }
  return { counts, unresolved };
};
