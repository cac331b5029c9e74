import { BinaryWriter } from '@bufbuild/protobuf/wire';
import type { NameTable } from './nameTable.js';
import { writeNumber } from './writeNumber.js';

/** Encodes numbers by name; most names are represented by their hashes. */
export const writeCounts = (
  counts: Readonly<Record<string, number>>,
  names: NameTable,
  frameNumber: number,
): Uint8Array => {
  const spelled: string[] = [];
  const hashed: string[] = [];
  Object.keys(counts).forEach((name) => {
    (names.takeSpelling(name, frameNumber) ? spelled : hashed).push(name);
  });
  const writer = new BinaryWriter();
  writer.uint32(hashed.length);
  hashed.forEach((name) => {
    writer.uint32(names.add(name));
    writeNumber(writer, counts[name] ?? 0);
  });
  spelled.forEach((name) => {
    writer.string(name);
    writeNumber(writer, counts[name] ?? 0);
  });
  return writer.finish();
};
