/** Blocks of one size that are used again, since the garbage collector releases unused ones late. */
export interface BlockPool {
  readonly blockBytes: number;
  readonly take: () => Buffer;
  /** Returns a block that nothing refers to any more. */
  readonly release: (block: Buffer) => void;
}
