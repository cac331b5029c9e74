import type { BinaryWriter } from '@bufbuild/protobuf/wire';

/** An even prefix is twice the number; an odd one is followed by the number as a double. */
const VARIANTS = 2;
const MAX_SHORT_INTEGER = 0x7fff_ffff;

/** Writes any number: an integer from 0 to 2^31 - 1 with an even prefix in one to five bytes, any other in nine. */
export const writeNumber = (writer: BinaryWriter, value: number): void => {
  if (Number.isInteger(value) && value >= 0 && value <= MAX_SHORT_INTEGER) {
    writer.uint32(value * VARIANTS);
    return;
  }
  writer.uint32(1).double(value);
};
