import type { BlockPool } from '../memory/blockPool.js';
import type { ReadBlock } from './readBlock.js';

/** Smaller blocks stay in the buffer that they were read into. */
const MIN_STORED_BYTES = 16_384;

/**
 * Moves a block that has to wait into one of the pool, since the garbage collector is slow to release large buffers that
 * have lasted for a while.
 */
export const storeBlock = (block: ReadBlock, pool: BlockPool): ReadBlock => {
  const { bytes } = block;
  if (
    block.storage !== undefined ||
    bytes.length < MIN_STORED_BYTES ||
    bytes.length > pool.blockBytes
  ) {
    return block;
  }
  const storage = pool.take();
  bytes.copy(storage);
  return { ...block, bytes: storage.subarray(0, bytes.length), storage };
};
