import { sharedBlockPool } from '../memory/sharedBlockPool.js';
import { isLargeBlock } from './isLargeBlock.js';
import type { PacedConnection } from './pacedConnection.js';
import { releaseBlock } from './releaseBlock.js';
import { takeSlice } from './takeSlice.js';

/** Hands the next slice of a connection to the parser. */
export const parseSlice = (connection: PacedConnection): void => {
  const { blocks, bodies, deliver } = connection;
  const [block] = blocks;
  if (block === undefined) {
    return;
  }
  const slice = takeSlice(block);
  const isWhole = block.parsedBytes === block.bytes.length;
  if (isWhole) {
    blocks.shift();
  }
  // What a body's reader does not take at once is kept by its request, as a part of what was delivered.
  const isCopied = isLargeBlock(block) && !bodies.isReadAtOnce();
  connection.current = block;
  deliver(isCopied ? Buffer.from(slice) : slice);
  connection.current = undefined;
  block.isReferenced ||= !isCopied && bodies.hasUnread();
  if (isWhole) {
    releaseBlock(block, sharedBlockPool);
  }
};
