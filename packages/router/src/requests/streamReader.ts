import type { SoundBlock } from './soundBlock.js';
import type { StreamFault } from './streamFault.js';

/** Reads the stream of one target and tells which parts of it may be relayed. */
export interface StreamReader {
  /**
   * Returns the blocks that these bytes complete and that are to be relayed. Nothing is to be relayed of bytes that hold a
   * fault, and nothing behind them is to be read.
   */
  readonly read: (bytes: Buffer) => {
    readonly blocks: readonly SoundBlock[];
    readonly fault?: StreamFault;
  };
  /** Bytes of an event that has begun and is not complete. */
  readonly countIncompleteBytes: () => number;
  /** Whether an event has begun and is not complete. */
  readonly hasIncompleteEvent: () => boolean;
  /** Why the stream can't end here, in order; undefined if it can. */
  readonly findEndFault: () => StreamFault | undefined;
}
