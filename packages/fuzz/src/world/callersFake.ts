import type { Arrival } from '../schedule/arrival.js';

/** The callers behind the balancer. */
export interface CallersFake {
  readonly send: (arrival: Arrival) => void;
}
