import type { SplitBlock } from './splitBlock.js';

/** Splits the bytes of a stream into complete blocks, which are events, comments or malformed. */
export interface EventSplitter {
  /** Returns the blocks that these bytes complete. */
  readonly push: (bytes: Buffer) => readonly SplitBlock[];
  /** Length of the block that has begun and is not complete, in bytes. */
  readonly countIncompleteBytes: () => number;
  /** Whether the block that has begun is more than comments and line ends. */
  readonly hasIncompleteEvent: () => boolean;
}
