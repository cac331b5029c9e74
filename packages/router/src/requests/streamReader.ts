import type { SplitBlock } from './splitBlock.js';
import type { StreamFault } from './streamFault.js';

/** A part of a stream that may be relayed. */
type SoundBlock = Exclude<SplitBlock, { kind: 'malformed' }>;

/** Reads the stream of one target and tells which parts of it may be relayed. */
export interface StreamReader {
  /** Returns the blocks that these bytes complete, up to a fault; what follows a fault is not to be read. */
  readonly read: (bytes: Buffer) => {
    readonly blocks: readonly SoundBlock[];
    readonly fault?: StreamFault;
  };
  /** Length of the block that has begun and is not complete, in bytes. */
  readonly countIncompleteBytes: () => number;
}
