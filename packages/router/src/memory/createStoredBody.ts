import type { StoredBody } from './storedBody.js';

/** Creates a body of these blocks, each of which is filled before the next one is begun. */
export const createStoredBody = (
  blocks: readonly Buffer[],
  { length, capacity }: { readonly length: number; readonly capacity: number },
  releaseBlocks: (blocks: readonly Buffer[]) => void,
): StoredBody => {
  let isReleased = false;

  function* copyParts(): Iterable<Buffer> {
    let remainingBytes = length;
    for (const block of blocks) {
      if (isReleased) {
        throw new Error('the body was released before it had been sent');
      }
      const part = block.subarray(0, remainingBytes);
      remainingBytes -= part.length;
      // A connection may still be writing its part when the block is used for another body.
      yield Buffer.from(part);
    }
  }

  return {
    length,
    capacity,
    whole: undefined,
    copyParts,
    release: () => {
      if (!isReleased) {
        isReleased = true;
        releaseBlocks(blocks);
      }
    },
  };
};
