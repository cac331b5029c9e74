import type { BlockPool } from '../memory/blockPool.js';
import { isLargeBlock } from './isLargeBlock.js';
import type { ReadBlock } from './readBlock.js';
import { releaseBlock } from './releaseBlock.js';

/**
 * Moves what is left of a large block that has to wait into a block of the pool, since the garbage collector is slow to
 * release large buffers that have lasted for a while.
 */
export const storeBlock = (block: ReadBlock, pool: BlockPool): ReadBlock => {
  const rest = block.bytes.subarray(block.parsedBytes);
  if (block.storage !== undefined || !isLargeBlock(block) || rest.length > pool.blockBytes) {
    return block;
  }
  const storage = pool.take();
  const bytes = storage.subarray(0, rest.copy(storage));
  releaseBlock(block, pool);
  return {
    ...block,
    bytes,
    storage,
    parsedBytes: 0,
  };
};
