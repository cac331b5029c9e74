/** A request under way at a target. */
export interface Exchange {
  /** Ends it with its connection; nothing more of it is taken. */
  readonly cancel: () => void;
  /** Goes on after a pause. */
  readonly resume: () => void;
}
