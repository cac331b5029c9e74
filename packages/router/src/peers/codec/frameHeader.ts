import type { Sender } from './sender.js';

/** What a frame states besides its content. */
export interface FrameHeader {
  readonly sender: Sender;
  /** Increases by one with each frame that an incarnation sends. */
  readonly frameNumber: number;
}
