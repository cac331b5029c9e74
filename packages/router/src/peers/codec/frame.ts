import type { Delivery } from './delivery.js';
import type { FrameHeader } from './frameHeader.js';

/** A received frame whose content is still encoded; the positions are those of its bytes in the datagram. */
export interface Frame {
  readonly delivery: Delivery;
  readonly header: FrameHeader;
  readonly start: number;
  readonly contentStart: number;
  readonly end: number;
}
