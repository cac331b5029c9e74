import type { ReadBlock } from './readBlock.js';

const MIN_LARGE_BYTES = 16_384;

/** Whether the memory of a block is released explicitly; that of smaller ones is left to the garbage collector. */
export const isLargeBlock = ({ bytes, storage }: ReadBlock): boolean =>
  storage !== undefined || bytes.length >= MIN_LARGE_BYTES;
