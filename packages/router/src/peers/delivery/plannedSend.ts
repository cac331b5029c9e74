import type { Delivery } from '../codec/delivery.js';

/** Where and how a frame is to be sent. */
export interface PlannedSend {
  readonly address: string;
  readonly delivery: Delivery;
  /** The data centre of the receiver, if it is known. */
  readonly dataCentre?: string;
}
