import type { BlockPool } from '../memory/blockPool.js';
import { freeBuffer } from '../memory/freeBuffer.js';
import { isLargeBlock } from './isLargeBlock.js';
import type { ReadBlock } from './readBlock.js';

/** Releases the memory of a block that is parsed or dropped. */
export const releaseBlock = (block: ReadBlock, pool: BlockPool): void => {
  if (block.isReferenced || !isLargeBlock(block)) {
    return;
  }
  if (block.storage === undefined) {
    freeBuffer(block.bytes);
  } else {
    pool.release(block.storage);
  }
};
