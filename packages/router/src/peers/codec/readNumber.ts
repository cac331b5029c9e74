import type { BinaryReader } from '@bufbuild/protobuf/wire';

/** An even prefix is twice the number; an odd one is followed by the number as a double. */
const VARIANTS = 2;

/** Reads a number from `writeNumber`; throws if it is not finite. */
export const readNumber = (reader: BinaryReader): number => {
  const prefix = reader.uint32();
  if (prefix % VARIANTS === 0) {
    return prefix / VARIANTS;
  }
  const value = reader.double();
  if (!Number.isFinite(value)) {
    throw new RangeError('a number is not finite');
  }
  return value;
};
