import type { BlockPool } from '../memory/blockPool.js';
import type { ReadBlock } from './readBlock.js';

/** So much is parsed at a time; a pause of the connection takes effect behind it. */
const SLICE_BYTES = 8_192;

/** Takes the next bytes from the blocks; null if there are none. */
export const takeSlice = (blocks: ReadBlock[], pool: BlockPool): Buffer | null => {
  const [block] = blocks;
  if (block === undefined) {
    return null;
  }
  const slice = block.bytes.subarray(0, SLICE_BYTES);
  // The parser hands out parts of what it gets, which may be kept longer than the storage.
  const taken = block.storage === undefined ? slice : Buffer.from(slice);
  if (slice.length < block.bytes.length) {
    blocks[0] = { ...block, bytes: block.bytes.subarray(SLICE_BYTES) };
    return taken;
  }
  blocks.shift();
  if (block.storage !== undefined) {
    pool.release(block.storage);
  }
  return taken;
};
