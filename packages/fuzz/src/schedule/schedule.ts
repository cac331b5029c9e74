import type { Arrival } from './arrival.js';
import type { Fault } from './fault.js';

/** Everything that decides one run of the world. */
export interface Schedule {
  /** Chooses the delays of messages. */
  readonly delaySeed: number;
  readonly arrivals: readonly Arrival[];
  readonly faults: readonly Fault[];
}
