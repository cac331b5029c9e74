import type { Delivery } from '../codec/delivery.js';

/** Notices that nothing is relayed to this entry, whichever entry sent it. */
export interface RelayWatch {
  /** Records a frame of an entry in another data centre. */
  readonly record: (delivery: Delivery, nowMs: number) => void;
  /** For how long nothing was relayed although it was due, in milliseconds. */
  readonly getSilentMs: (nowMs: number) => number;
  /** Starts anew after a time in which this entry read nothing. */
  readonly restart: (nowMs: number) => void;
}
