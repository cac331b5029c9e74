import type { Socket } from 'node:net';

/**
 * Parses what callers send in turns, so that neither many bytes nor bytes that cause much work keep the event loop from
 * other callers.
 */
export interface PacedReading {
  /**
   * Has to be called with each connection once the HTTP server has accepted it. `reportEarlyEnd` is called if the caller ends
   * its side while the connection is paused; the end itself comes behind the bytes before it.
   */
  readonly addConnection: (socket: Socket, reportEarlyEnd: () => void) => void;
  /** Bytes that were read from the connection and are not parsed yet. */
  readonly countUnparsedBytes: (socket: Socket) => number;
  /** The earliest moment at which what is being parsed now may have arrived, in milliseconds of the monotonic clock. */
  readonly getEarliestArrivalAtMs: (socket: Socket) => number;
  /** Number of connections whose bytes wait for their turn. */
  readonly countWaitingConnections: () => number;
}
