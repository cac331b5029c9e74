import { sharedBlockPool } from '../memory/sharedBlockPool.js';
import { isLargeBlock } from './isLargeBlock.js';
import type { PacedConnection } from './pacedConnection.js';
import { releaseBlock } from './releaseBlock.js';
import { takeSlice } from './takeSlice.js';

/** Hands the next slice of a connection to the parser. */
export const parseSlice = (connection: PacedConnection): void => {
  const { blocks, deliver } = connection;
  const [block] = blocks;
  if (block === undefined) {
    return;
  }
  const slice = takeSlice(block);
  // A request may refer to parts of what was delivered, and the memory of a large block is used for other bytes.
  const delivered = isLargeBlock(block) ? Buffer.from(slice) : slice;
  if (block.parsedBytes === block.bytes.length) {
    blocks.shift();
    releaseBlock(block, sharedBlockPool);
  }
  connection.current = block;
  deliver(delivered);
  connection.current = undefined;
};
