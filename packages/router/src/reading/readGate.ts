import type { PacedConnection } from './pacedConnection.js';

/** Limits how much is read from all connections in one turn of the event loop; the rest stays in the kernel. */
export interface ReadGate {
  /** Adds a connection that is being read. */
  readonly add: (connection: PacedConnection) => void;
  readonly remove: (connection: PacedConnection) => void;
  /** Counts bytes that were read, and stops reading from all connections once they are too many for this turn. */
  readonly recordRead: (bytes: number) => void;
  readonly isReading: (connection: PacedConnection) => boolean;
  /** Records that the connection is not read until `readOn`. */
  readonly stop: (connection: PacedConnection) => void;
  /** Reads on from a connection, at once or in one of the next turns. */
  readonly readOn: (connection: PacedConnection) => void;
  /** Starts a new turn. Returns whether connections still wait to be read. */
  readonly startTurn: () => boolean;
}
