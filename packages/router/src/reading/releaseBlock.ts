import type { BlockPool } from '../memory/blockPool.js';
import { freeBuffer } from '../memory/freeBuffer.js';
import { isLargeBlock } from './isLargeBlock.js';
import type { ReadBlock } from './readBlock.js';

/** Releases the memory of a block that is parsed or dropped. */
export const releaseBlock = (block: ReadBlock, pool: BlockPool): void => {
  if (block.storage !== undefined) {
    pool.release(block.storage);
  } else if (isLargeBlock(block)) {
    freeBuffer(block.bytes);
  }
};
