/** A complete body. What it takes beyond one block is used for other bodies once it is released. */
export interface StoredBody {
  /** In bytes. */
  readonly length: number;
  /** Bytes of memory that it takes. */
  readonly capacity: number;
  /** The whole body if it fits into one block, else undefined. */
  readonly whole: Buffer | undefined;
  /** Returns copies of its parts in order, each made when it is asked for; throws if the body is released meanwhile. */
  readonly copyParts: () => Iterable<Buffer>;
  readonly release: () => void;
}
