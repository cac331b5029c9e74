import type { PacedConnection } from './pacedConnection.js';

/** Connections that wait for their turn: those that have caused the least work come first. */
export interface WorkQueue {
  readonly countWaiting: () => number;
  /** Adds a connection, unless it is waiting already. */
  readonly add: (connection: PacedConnection) => void;
  readonly remove: (connection: PacedConnection) => void;
  readonly takeNext: () => PacedConnection | undefined;
}
