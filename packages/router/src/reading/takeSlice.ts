import type { ReadBlock } from './readBlock.js';

/** So much is parsed at a time; a pause of the connection takes effect behind it. */
const SLICE_BYTES = 8_192;

/** Takes the next bytes of a block. */
export const takeSlice = (block: ReadBlock): Buffer => {
  const start = block.parsedBytes;
  block.parsedBytes = Math.min(start + SLICE_BYTES, block.bytes.length);
  return block.bytes.subarray(start, block.parsedBytes);
};
