import type { StoredBody } from './storedBody.js';

/** Collects bytes that arrive in parts of any size. */
export interface ByteCollector {
  readonly add: (bytes: Buffer) => void;
  /** Bytes of memory that are held for what was collected; at least its length. */
  readonly getCapacity: () => number;
  readonly getLength: () => number;
  /** Returns everything that was collected, in one buffer, and starts anew. */
  readonly take: () => Buffer;
  /** Returns everything that was collected without joining it, and starts anew. */
  readonly takeStored: () => StoredBody;
  /** Releases everything that was collected. */
  readonly clear: () => void;
}
