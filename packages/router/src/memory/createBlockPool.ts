import type { BlockPool } from './blockPool.js';

const BLOCK_BYTES = 65_536;
/** Blocks are allocated together, apart from the small allocations of the process, whose gaps would add to them. */
const BLOCKS_PER_SLAB = 16;
/** Unused blocks beyond this number are left to the garbage collector. */
const MAX_FREE_BLOCKS = 512;

const createBlocks = (): readonly Buffer[] => {
  const slab = Buffer.allocUnsafeSlow(BLOCKS_PER_SLAB * BLOCK_BYTES);
  return Array.from({ length: BLOCKS_PER_SLAB }, (_, index) =>
    slab.subarray(index * BLOCK_BYTES, (index + 1) * BLOCK_BYTES),
  );
};

/** Creates a pool without blocks. */
export const createBlockPool = (): BlockPool => {
  const free: Buffer[] = [];
  const take = (): Buffer => {
    const block = free.pop();
    if (block !== undefined) {
      return block;
    }
    free.push(...createBlocks());
    return take();
  };
  return {
    blockBytes: BLOCK_BYTES,
    take,
    release: (block) => {
      if (free.length < MAX_FREE_BLOCKS) {
        free.push(block);
      }
    },
  };
};
