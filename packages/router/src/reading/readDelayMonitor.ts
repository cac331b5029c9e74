import type { Socket } from 'node:net';

/**
 * Tells how long data may have waited before this process read it. All moments are milliseconds of the monotonic clock.
 */
export interface ReadDelayMonitor {
  /** Has to be called with each connection when it is accepted. */
  readonly recordConnection: (socket: Socket) => void;
  /** Has to be called at each periodic tick of the process. */
  readonly recordTick: () => void;
  /** The earliest moment at which the data that is being read from the connection now may have arrived. */
  readonly getEarliestArrivalAtMs: (socket: Socket) => number;
  /** Whether connections may be waiting to be accepted. */
  readonly hasAcceptBacklog: () => boolean;
}
