import type { Delivery } from './delivery.js';

/** An encoded frame as it stands in a datagram. */
export interface DeliveredFrame {
  readonly delivery: Delivery;
  readonly bytes: Uint8Array;
}
