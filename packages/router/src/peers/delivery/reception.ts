/** How the frames of another entry's incarnation arrive here. */
export interface Reception {
  /** The highest frame number so far. */
  readonly newestFrame: number;
  /** Bit i: the frame `newestFrame - i` arrived other than as an extra copy, that is on the path that serves everyone. */
  readonly arrivedBits: number;
  /** The latest frame that came from its sender itself. */
  readonly newestOwnFrame: number;
  readonly heardAtMs: number;
}
