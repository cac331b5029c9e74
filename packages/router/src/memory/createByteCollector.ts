import type { BlockPool } from './blockPool.js';
import type { ByteCollector } from './byteCollector.js';
import { createStoredBody } from './createStoredBody.js';
import { sharedBlockPool } from './sharedBlockPool.js';
import { toStoredBody } from './toStoredBody.js';

const MIN_BLOCK_BYTES = 1_024;
const EMPTY = Buffer.alloc(0);

/**
 * Creates a collector that copies into blocks: first small ones that double, then those of the pool. A small part keeps
 * neither its own object nor the larger buffer that it was read into.
 */
export const createByteCollector = (pool: BlockPool = sharedBlockPool): ByteCollector => {
  let blocks: Buffer[] = [];
  let lastBlockLength = 0;
  let capacity = 0;
  let length = 0;

  const createBlock = (neededBytes: number): Buffer => {
    const bytes = Math.max(neededBytes, capacity, MIN_BLOCK_BYTES);
    // A pooled buffer of Node.js would keep its whole slab in memory.
    return bytes < pool.blockBytes ? Buffer.allocUnsafeSlow(bytes) : pool.take();
  };

  const addBlock = (neededBytes: number): Buffer => {
    const block = createBlock(neededBytes);
    blocks.push(block);
    lastBlockLength = 0;
    capacity += block.length;
    return block;
  };

  const release = (released: readonly Buffer[]): void => {
    released.filter((block) => block.length === pool.blockBytes).forEach(pool.release);
  };

  const startAnew = (): void => {
    blocks = [];
    lastBlockLength = 0;
    capacity = 0;
    length = 0;
  };

  const clear = (): void => {
    release(blocks);
    startAnew();
  };

  /** Joins the blocks, each of which is filled before the next one is begun. */
  const join = (): Buffer => {
    const [first = EMPTY] = blocks;
    return blocks.length <= 1 && first.length < pool.blockBytes
      ? first.subarray(0, length)
      : Buffer.concat(blocks, length);
  };

  return {
    add: (bytes) => {
      let position = 0;
      while (position < bytes.length) {
        const last = blocks.at(-1);
        const block =
          last === undefined || lastBlockLength === last.length
            ? addBlock(bytes.length - position)
            : last;
        const copied = bytes.copy(block, lastBlockLength, position);
        lastBlockLength += copied;
        position += copied;
      }
      length += bytes.length;
    },
    getCapacity: () => capacity,
    getLength: () => length,
    take: () => {
      const whole = join();
      clear();
      return whole;
    },
    takeStored: () => {
      if (capacity < pool.blockBytes) {
        const body = toStoredBody(join());
        clear();
        return body;
      }
      const body = createStoredBody(blocks, { length, capacity }, release);
      startAnew();
      return body;
    },
    clear,
  };
};
