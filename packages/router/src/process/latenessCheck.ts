/** Watches whether the process keeps up with its events. */
export interface LatenessCheck {
  /** To be called with each tick. */
  readonly noteTick: () => void;
  /** What is read now may have waited so long that its sender has left. */
  readonly isBehind: () => boolean;
}
